package relay

import (
	"bufio"
	"bytes"
	"io"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// splitReader returns the data in parts of the given sizes, again and again.
type splitReader struct {
	data  []byte
	sizes []int
	n     int
}

func (r *splitReader) Read(buf []byte) (n int, err error) {
	if len(r.data) == 0 {
		return 0, io.EOF
	}
	n = copy(buf, r.data[:min(r.sizes[r.n%len(r.sizes)], len(r.data))])
	r.n++
	r.data = r.data[n:]
	return n, nil
}

// Guards against events that are ended, named or lost by where their bytes are cut: into reads, by the buffer, or by the
// end of the stream.
func TestEventsDoNotDependOnWhereBytesAreCut(t *testing.T) {
	line := rapid.Custom(func(rt *rapid.T) string {
		length := rapid.SampledFrom([]int{0, 1, 40, readBufferBytes - 1, readBufferBytes, readBufferBytes + 1, 2 * readBufferBytes}).Draw(rt, "length")
		return "data:" + strings.Repeat("x", max(length-len("data:"), 0)) + rapid.SampledFrom([]string{"", "id: 9", "\r"}).Draw(rt, "tail")
	})
	rapid.Check(t, func(rt *rapid.T) {
		end := rapid.SampledFrom([]string{"\n", "\r\n"}).Draw(rt, "line end")
		var text []byte
		var ends []int
		var ids []string
		for range rapid.IntRange(1, 5).Draw(rt, "events") {
			id := rapid.SampledFrom([]string{"", "1", "x"}).Draw(rt, "id")
			if id != "" {
				text = append(text, "id: "+id+end...)
			}
			for _, l := range rapid.SliceOfN(line, 1, 3).Draw(rt, "lines") {
				text = append(text, l+end...)
			}
			text = append(text, end...)
			ends, ids = append(ends, len(text)), append(ids, id)
		}
		cut := rapid.IntRange(0, len(text)).Draw(rt, "cut")
		sizes := rapid.SliceOfN(rapid.SampledFrom([]int{1, 7, 512, readBufferBytes, 3 * readBufferBytes}), 1, 4).Draw(rt, "sizes")
		events := &eventReader{r: bufio.NewReaderSize(&splitReader{data: text[:cut], sizes: sizes}, readBufferBytes)}
		start := 0
		for i := 0; i < len(ends) && ends[i] <= cut; i++ {
			e, err := events.next()
			if err != nil || e.id != ids[i] || !bytes.Equal(e.raw, text[start:ends[i]]) {
				rt.Fatalf("event %d: id %q, %d bytes, %v", i, e.id, len(e.raw), err)
			}
			start = ends[i]
		}
		_, err := events.next()
		if whole := start == cut; whole != (err == io.EOF) || err == nil {
			rt.Fatalf("end after %d of %d bytes: %v", start, cut, err)
		}
	})
}
