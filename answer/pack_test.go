package answer

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"
)

// A caller comes back for its answer and gets it from what was packed. Whatever
// mixture of words, tool calls, statuses and a last piece it was made of, each
// piece must come back as it was, or the caller gets another answer than the
// first time.
func TestPackedPiecesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var k pack
		var all []*wire.Piece
		n := rapid.IntRange(1, 40).Draw(t, "pieces")
		for i := range n {
			p := &wire.Piece{Request: "r", Attempt: 3, Number: uint32(i), Text: rapid.String().Draw(t, "text"), Tokens: rapid.Int32Range(-1, 300).Draw(t, "tokens")}
			switch rapid.IntRange(0, 9).Draw(t, "kind") {
			case 0:
				p.Data = rapid.SliceOf(rapid.Byte()).Draw(t, "data")
			case 1:
				p.Status = 200
				p.Headers = []*wire.Header{{Name: "a", Value: "b"}}
			case 2:
				p.Last = true
				p.Step = &wire.Step{Attempt: 3, Cost: 7}
			}
			all = append(all, p)
			k.add(proto.Clone(p).(*wire.Piece))
		}
		for i, p := range all {
			if got := k.piece(uint32(i)); !proto.Equal(got, p) {
				t.Fatalf("piece %d is %v, was %v", i, got, p)
			}
		}
	})
}

// A field is added to the messages and pack does not know of it. Pieces that
// carry it must not be packed, or it would be lost from kept answers.
func TestPiecesWithOtherFieldsAreNotPacked(t *testing.T) {
	packed := map[protoreflect.Name]bool{"request": true, "attempt": true, "number": true, "text": true, "tokens": true}
	fields := (&wire.Piece{}).ProtoReflect().Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		if packed[f.Name()] {
			continue
		}
		p := &wire.Piece{Text: "w"}
		m := p.ProtoReflect()
		switch {
		case f.IsList():
			m.Mutable(f).List().AppendMutable()
		case f.Message() != nil:
			m.Mutable(f)
		case f.Kind() == protoreflect.BoolKind:
			m.Set(f, protoreflect.ValueOfBool(true))
		case f.Kind() == protoreflect.StringKind:
			m.Set(f, protoreflect.ValueOfString("x"))
		case f.Kind() == protoreflect.BytesKind:
			m.Set(f, protoreflect.ValueOfBytes([]byte("x")))
		case f.Kind() == protoreflect.Int64Kind:
			m.Set(f, protoreflect.ValueOfInt64(1))
		case f.Kind() == protoreflect.Uint32Kind:
			m.Set(f, protoreflect.ValueOfUint32(1))
		default:
			m.Set(f, protoreflect.ValueOfInt32(1))
		}
		if (&pack{}).plain(p, 0) {
			t.Errorf("a piece with %s is packed", f.Name())
		}
	}
}
