package answer

import (
	"testing"

	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"pgregory.net/rapid"
)

// A caller retries and gets its answer from the packed pieces. For any mix of words, tool calls,
// statuses and last pieces, each piece must be restored unchanged, or the caller gets a different
// answer on the retry.
func TestPackedPiecesRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var pp packedPieces
		var pieces []*wire.Piece
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
			pieces = append(pieces, p)
			pp.add(proto.Clone(p).(*wire.Piece))
		}
		for i, p := range pieces {
			if got := pp.piece(uint32(i)); !proto.Equal(got, p) {
				t.Fatalf("piece %d is %v, want %v", i, got, p)
			}
		}
	})
}

// A field is added to wire.Piece and packable does not check it. Pieces that have the field must not
// be packed, or retained answers would lose it.
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
		if (&packedPieces{}).packable(p, 0) {
			t.Errorf("a piece with %s is packed", f.Name())
		}
	}
}
