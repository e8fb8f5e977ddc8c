package bill

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/parsleydeal/parsleydeal/peer/wire"
)

// AnomalyKind names what is wrong with a bill or a record.
type AnomalyKind string

// The kinds of anomaly.
const (
	// CorruptRecord is a record that holds no bills; it was skipped.
	CorruptRecord AnomalyKind = "corrupt-record"
	// ConflictingSteps is one attempt with two costs; the bill has the lesser.
	ConflictingSteps AnomalyKind = "conflicting-steps"
	// ConflictingOwner is one request billed to two organisations or routes.
	ConflictingOwner AnomalyKind = "conflicting-owner"
	// Incomplete is a bill without a request, a step or a whole step.
	Incomplete AnomalyKind = "incomplete"
	// UnknownOrganisation is a bill of an organisation that no tables have.
	UnknownOrganisation AnomalyKind = "unknown-organisation"
)

// maxAnomalies bounds the anomalies that are listed; more are counted.
const maxAnomalies = 10_000

// Anomaly is something that a person shall look at.
type Anomaly struct {
	Kind    AnomalyKind `json:"kind"`
	Request string      `json:"request,omitempty"`
	Offset  int64       `json:"offset"`
	Detail  string      `json:"detail"`
}

// Total sums the bills of one organisation on one route.
type Total struct {
	Organisation string `json:"organisation"`
	Route        string `json:"route"`
	Requests     int64  `json:"requests"`
	Steps        int64  `json:"steps"`
	// Cost is in micro-units of currency.
	Cost int64 `json:"cost"`
}

// Statement reduces the stream of bills to one bill a request. It keeps all
// bills between the first and the last record it is given, so its reader bounds
// the span.
type Statement struct {
	bills map[string]*wire.Bill
	// seen holds where each request was first billed.
	seen      map[string]int64
	anomalies []Anomaly
	dropped   int
	records   int64
	repeats   int64
}

// NewStatement makes an empty statement.
func NewStatement() *Statement {
	return &Statement{bills: make(map[string]*wire.Bill), seen: make(map[string]int64)}
}

// Add takes in the record at an offset.
func (s *Statement) Add(offset int64, data []byte) {
	s.records++
	bills, err := Decode(data)
	if err != nil {
		s.note(Anomaly{Kind: CorruptRecord, Offset: offset, Detail: err.Error()})
		return
	}
	for _, b := range bills {
		s.add(offset, b)
	}
}

func (s *Statement) add(offset int64, b *wire.Bill) {
	if b.GetRequest() == "" {
		s.note(Anomaly{Kind: Incomplete, Offset: offset, Detail: "the bill names no request"})
		return
	}
	old, ok := s.bills[b.GetRequest()]
	if !ok {
		s.seen[b.GetRequest()] = offset
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
		s.note(Anomaly{
			Kind: ConflictingSteps, Request: b.GetRequest(), Offset: offset,
			Detail: fmt.Sprintf("attempt %d has another cost than at offset %d", attempt, s.seen[b.GetRequest()]),
		})
	}
	if old.GetOrganisation() != b.GetOrganisation() || old.GetRoute() != b.GetRoute() {
		s.note(Anomaly{
			Kind: ConflictingOwner, Request: b.GetRequest(), Offset: offset,
			Detail: fmt.Sprintf("%s on %s, and %s on %s", old.GetOrganisation(), old.GetRoute(), b.GetOrganisation(), b.GetRoute()),
		})
	}
}

func (s *Statement) note(a Anomaly) {
	if len(s.anomalies) >= maxAnomalies {
		s.dropped++
		return
	}
	s.anomalies = append(s.anomalies, a)
}

// Finish looks at the bills as a whole. Known reports whether an organisation
// stands, or once stood, in the tables; nil skips the question.
func (s *Statement) Finish(known func(organisation string) bool) {
	for _, b := range s.Bills() {
		whole := slices.ContainsFunc(b.GetSteps(), (*wire.Step).GetWhole)
		if !whole {
			s.note(Anomaly{Kind: Incomplete, Request: b.GetRequest(), Offset: s.seen[b.GetRequest()], Detail: fmt.Sprintf("none of its %d steps is whole", len(b.GetSteps()))})
		}
		if known != nil && !known(b.GetOrganisation()) {
			s.note(Anomaly{Kind: UnknownOrganisation, Request: b.GetRequest(), Offset: s.seen[b.GetRequest()], Detail: fmt.Sprintf("no tables have organisation %q", b.GetOrganisation())})
		}
	}
}

// Bills returns one bill a request, sorted by request.
func (s *Statement) Bills() (bills []*wire.Bill) {
	for _, b := range s.bills {
		bills = append(bills, b)
	}
	slices.SortFunc(bills, func(a, b *wire.Bill) int { return cmp.Compare(a.GetRequest(), b.GetRequest()) })
	return bills
}

// Anomalies returns what was found, and how many more were not kept.
func (s *Statement) Anomalies() (list []Anomaly, more int) { return s.anomalies, s.dropped }

// Counts returns the records read and the bills that repeated a request.
func (s *Statement) Counts() (records, repeats int64) { return s.records, s.repeats }

// Totals sums the bills by organisation and route, sorted.
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
