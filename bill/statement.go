package bill

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// AnomalyKind is the kind of problem found in a bill or record.
type AnomalyKind string

// The kinds of anomaly.
const (
	// CorruptRecord is a record that cannot be decoded. It is skipped.
	CorruptRecord AnomalyKind = "corrupt-record"
	// ConflictingSteps is one attempt with two costs. The bill has the cost of the complete step
	// or, if both or neither are complete, the lower cost.
	ConflictingSteps AnomalyKind = "conflicting-steps"
	// ConflictingOwner is one request billed to two organisations or routes.
	ConflictingOwner AnomalyKind = "conflicting-owner"
	// Incomplete is a bill without a request ID or without a complete step.
	Incomplete AnomalyKind = "incomplete"
	// UnknownOrganisation is a bill of an organisation that is not, and never was, in the tables.
	UnknownOrganisation AnomalyKind = "unknown-organisation"
)

// maxAnomalies is how many anomalies are listed. Further ones are only counted.
const maxAnomalies = 10_000

// Anomaly is a problem that needs manual review.
type Anomaly struct {
	Kind    AnomalyKind `json:"kind"`
	Request string      `json:"request,omitempty"`
	Offset  int64       `json:"offset"`
	Detail  string      `json:"detail"`
}

// Total is the sum of the bills of one organisation on one route.
type Total struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Requests     int64  `json:"requests"`
	Steps        int64  `json:"steps"`
	// Cost is in micro-units of currency.
	Cost int64 `json:"cost"`
}

// Statement merges a stream of bills into one bill for each request. It holds the bills of all
// records it is given in memory, so the caller must limit the range of records.
type Statement struct {
	bills map[string]*wire.Bill
	// firstOffsets holds the offset at which each request was first billed.
	firstOffsets map[string]int64
	anomalies    []Anomaly
	omitted      int
	records      int64
	repeats      int64
}

// NewStatement returns an empty statement.
func NewStatement() *Statement {
	return &Statement{bills: make(map[string]*wire.Bill), firstOffsets: make(map[string]int64)}
}

// Add processes the record at an offset of the log.
func (s *Statement) Add(offset int64, data []byte) {
	s.records++
	bills, err := Decode(data)
	if err != nil {
		s.report(Anomaly{Kind: CorruptRecord, Offset: offset, Detail: err.Error()})
		return
	}
	for _, b := range bills {
		s.add(offset, b)
	}
}

func (s *Statement) add(offset int64, b *wire.Bill) {
	if b.GetRequest() == "" {
		s.report(Anomaly{Kind: Incomplete, Offset: offset, Detail: "the bill names no request"})
		return
	}
	old, ok := s.bills[b.GetRequest()]
	if !ok {
		s.firstOffsets[b.GetRequest()] = offset
		s.compare(offset, b, b)
		s.bills[b.GetRequest()] = Merge(b, b)
		return
	}
	s.repeats++
	s.compare(offset, old, b)
	s.bills[b.GetRequest()] = Merge(old, b)
}

func (s *Statement) compare(offset int64, old, b *wire.Bill) {
	for _, attempt := range Conflicts(old, b) {
		s.report(Anomaly{
			Kind: ConflictingSteps, Request: b.GetRequest(), Offset: offset,
			Detail: fmt.Sprintf("attempt %d has another cost than at offset %d", attempt, s.firstOffsets[b.GetRequest()]),
		})
	}
	if old.GetOrganisation() != b.GetOrganisation() || old.GetRoute() != b.GetRoute() {
		s.report(Anomaly{
			Kind: ConflictingOwner, Request: b.GetRequest(), Offset: offset,
			Detail: fmt.Sprintf("%s on %s, and %s on %s", old.GetOrganisation(), old.GetRoute(), b.GetOrganisation(), b.GetRoute()),
		})
	}
}

func (s *Statement) report(a Anomaly) {
	if len(s.anomalies) >= maxAnomalies {
		s.omitted++
		return
	}
	s.anomalies = append(s.anomalies, a)
}

// Finish checks the merged bills and must be called after the last Add. The function known reports
// whether an organisation is or was in the tables; if known is nil, organisations are not checked.
func (s *Statement) Finish(known func(organisation string) bool) {
	for _, b := range s.Bills() {
		hasComplete := slices.ContainsFunc(b.GetSteps(), (*wire.Step).GetWhole)
		if !hasComplete {
			s.report(Anomaly{Kind: Incomplete, Request: b.GetRequest(), Offset: s.firstOffsets[b.GetRequest()], Detail: fmt.Sprintf("none of its %d steps is whole", len(b.GetSteps()))})
		}
		if known != nil && !known(b.GetOrganisation()) {
			s.report(Anomaly{Kind: UnknownOrganisation, Request: b.GetRequest(), Offset: s.firstOffsets[b.GetRequest()], Detail: fmt.Sprintf("no tables have organisation %q", b.GetOrganisation())})
		}
	}
}

// Bills returns one bill for each request, sorted by request.
func (s *Statement) Bills() (bills []*wire.Bill) {
	for _, b := range s.bills {
		bills = append(bills, b)
	}
	slices.SortFunc(bills, func(a, b *wire.Bill) int { return cmp.Compare(a.GetRequest(), b.GetRequest()) })
	return bills
}

// Anomalies returns the listed anomalies and the number of further ones.
func (s *Statement) Anomalies() (list []Anomaly, more int) { return s.anomalies, s.omitted }

// Counts returns the number of records added and of bills that repeated a request.
func (s *Statement) Counts() (records, repeats int64) { return s.records, s.repeats }

// Totals returns the sums by organisation and route, sorted.
func (s *Statement) Totals() (totals []Total) {
	type key struct{ organisation, route string }
	sums := make(map[key]*Total)
	for _, b := range s.bills {
		k := key{b.GetOrganisation(), b.GetRoute()}
		if sums[k] == nil {
			sums[k] = &Total{Organisation: k.organisation, Route: k.route}
		}
		sums[k].Requests++
		sums[k].Steps += int64(len(b.GetSteps()))
		sums[k].Cost += Cost(b)
	}
	for _, t := range sums {
		totals = append(totals, *t)
	}
	slices.SortFunc(totals, func(a, b Total) int {
		if c := cmp.Compare(a.Organisation, b.Organisation); c != 0 {
			return c
		}
		return cmp.Compare(a.Route, b.Route)
	})
	return totals
}
