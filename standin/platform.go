// Package standin provides in-memory stand-ins for external systems: the platform's log, VM list,
// weight store and rater, model engines and plain services. They can simulate failures.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/parsleydeal/parsleydeal/provider"
)

// maxRecordBytes bounds one record of the log.
const maxRecordBytes = 4 << 20

// Platform is the stand-in for the platform's services.
type Platform struct {
	mu      sync.Mutex
	streams map[string]*stream
	vms     []provider.VM
	faults  Faults
	// qualities holds the true quality of each version, which the rater uses.
	qualities map[string]float64
	ratings   []provider.Rating
	weights   map[string]int
}

// Faults are the failures to simulate in the platform.
type Faults struct {
	// Down makes the log refuse every call.
	Down bool `json:"down"`
	// DropAnswers is the number of appends from now on that take effect but whose answers are
	// dropped.
	DropAnswers int `json:"lose-answers"`
	// DelayMillis delays every call to the log.
	DelayMillis int64 `json:"delay-millis"`
	// ListDelayMillis delays every read of the VM list.
	ListDelayMillis int64 `json:"list-delay-millis"`
	// RefuseWeights is the number of weight fetches from now on that are refused as if over a rate
	// limit.
	RefuseWeights int `json:"refuse-weights"`
}

type stream struct {
	first   int64
	records [][]byte
	// appended is closed and replaced when a record is appended.
	appended chan struct{}
}

// NewPlatform returns a platform without VMs and records.
func NewPlatform() *Platform {
	return &Platform{streams: make(map[string]*stream), qualities: make(map[string]float64), weights: make(map[string]int)}
}

// SetVMs replaces the VM list.
func (p *Platform) SetVMs(vms []provider.VM) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.vms = vms
}

// SetFaults replaces the faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetQuality sets the true quality of a version.
func (p *Platform) SetQuality(version string, q float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.qualities[version] = q
}

// Expire removes a stream's records with offsets below first, as happens when their retention ends.
func (p *Platform) Expire(name string, first int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	for s.first < first && len(s.records) > 0 {
		s.records = s.records[1:]
		s.first++
	}
}

// Records returns the records that a stream retains.
func (p *Platform) Records(name string) (records [][]byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append(records, p.stream(name).records...)
}

func (p *Platform) stream(name string) *stream {
	s, ok := p.streams[name]
	if !ok {
		s = &stream{appended: make(chan struct{})}
		p.streams[name] = s
	}
	return s
}

// Handler returns the platform's HTTP interface.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /streams/{name}", p.append)
	mux.HandleFunc("GET /streams/{name}", p.read)
	mux.HandleFunc("GET /vms", p.listVMs)
	mux.HandleFunc("PUT /vms", p.putVMs)
	mux.HandleFunc("PUT /faults", p.putFaults)
	mux.HandleFunc("POST /weights/{version}", p.fetch)
	mux.HandleFunc("POST /judge", p.judge)
	mux.HandleFunc("POST /samples", p.submit)
	mux.HandleFunc("GET /ratings", p.listRatings)
	return mux
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// injectFault applies DelayMillis and Down to a call to the log. It returns true if it has answered
// the call.
func (p *Platform) injectFault(w http.ResponseWriter) (answered bool) {
	p.mu.Lock()
	f := p.faults
	p.mu.Unlock()
	time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	if f.Down {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return f.Down
}

func (p *Platform) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxRecordBytes))
	if err != nil || p.injectFault(w) {
		return
	}
	p.mu.Lock()
	offset := p.stream(r.PathValue("name")).appendRecord(data)
	drop := p.faults.DropAnswers > 0
	if drop {
		p.faults.DropAnswers--
	}
	p.mu.Unlock()
	if drop {
		panic(http.ErrAbortHandler)
	}
	reply(w, map[string]int64{"offset": offset})
}

func (s *stream) appendRecord(data []byte) (offset int64) {
	s.records = append(s.records, data)
	close(s.appended)
	s.appended = make(chan struct{})
	return s.first + int64(len(s.records)) - 1
}

func (p *Platform) read(w http.ResponseWriter, r *http.Request) {
	if p.injectFault(w) {
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	wait, _ := strconv.ParseInt(r.URL.Query().Get("wait"), 10, 64)
	name := r.PathValue("name")
	page, appended := p.page(name, from)
	if len(page.Records) == 0 && wait > 0 {
		select {
		case <-appended:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-r.Context().Done():
		}
		page, _ = p.page(name, from)
	}
	if p.injectFault(w) {
		return
	}
	if from < page.First {
		w.WriteHeader(http.StatusGone)
		return
	}
	reply(w, page)
}

func (p *Platform) page(name string, from int64) (page provider.Page, appended chan struct{}) {
	const maxRecords = 500
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.stream(name)
	page = provider.Page{First: s.first, Head: s.first + int64(len(s.records))}
	for o := max(from, s.first); o < page.Head && len(page.Records) < maxRecords; o++ {
		page.Records = append(page.Records, provider.Record{Offset: o, Data: s.records[o-s.first]})
	}
	return page, s.appended
}

func (p *Platform) listVMs(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	delay := p.faults.ListDelayMillis
	p.mu.Unlock()
	time.Sleep(time.Duration(delay) * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	reply(w, p.vms)
}

func (p *Platform) putVMs(w http.ResponseWriter, r *http.Request) {
	var vms []provider.VM
	if err := json.NewDecoder(r.Body).Decode(&vms); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMs(vms)
}

func (p *Platform) putFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFaults(f)
}

func (p *Platform) fetch(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.RefuseWeights > 0 {
		p.faults.RefuseWeights--
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	p.weights[r.PathValue("version")]++
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) judge(w http.ResponseWriter, r *http.Request) {
	var s provider.Sample
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	reply(w, map[string]float64{"score": p.score(s)})
}

func (p *Platform) submit(w http.ResponseWriter, r *http.Request) {
	var s provider.Sample
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	score := p.score(s)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ratings = append(p.ratings, provider.Rating{Request: s.Request, Score: score})
	w.WriteHeader(http.StatusAccepted)
}

func (p *Platform) listRatings(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	p.mu.Lock()
	defer p.mu.Unlock()
	from = min(max(from, 0), int64(len(p.ratings)))
	reply(w, map[string]any{"ratings": p.ratings[from:], "next": len(p.ratings)})
}
