package answer

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// packedOverheadBytes is the memory of a packed piece in addition to its text.
	packedOverheadBytes = 5
	// pieceOverheadBytes is the approximate memory of any other piece in addition to text and data.
	pieceOverheadBytes = 320
	// answerOverheadBytes is the approximate memory of an answer in addition to its pieces.
	answerOverheadBytes = 600
	// maxPackedTokens is the largest token count of a packed piece, as it is stored in a byte.
	maxPackedTokens = 255
)

// packedPieces stores the pieces of one attempt in little memory. Nearly all of them add only a
// word of text. As protobuf messages they would take 260 bytes each, and the retained answers of an
// endpoint would fill its memory within minutes.
type packedPieces struct {
	request string
	attempt uint32
	// text is the text of all packed pieces. For each piece number, ends has the end of the piece's
	// text and tokens its token count.
	text   []byte
	ends   []uint32
	tokens []uint8
	// unpacked has the pieces that cannot be packed, by number.
	unpacked map[uint32]*wire.Piece
}

// add appends a copy of the next piece and returns its approximate size in bytes.
func (pp *packedPieces) add(p *wire.Piece) (size int) {
	number := uint32(len(pp.ends))
	if number == 0 {
		pp.request, pp.attempt = p.GetRequest(), p.GetAttempt()
		pp.unpacked = make(map[uint32]*wire.Piece)
	}
	packed := pp.packable(p, number)
	tokens := uint8(0)
	if packed {
		pp.text = append(pp.text, p.GetText()...)
		tokens = uint8(p.GetTokens())
	} else {
		// The last piece points into its attempt. Without a copy it would retain the attempt and
		// the buffers of its stream, several KB per answer.
		pp.unpacked[number] = proto.Clone(p).(*wire.Piece)
	}
	pp.ends = append(pp.ends, uint32(len(pp.text)))
	pp.tokens = append(pp.tokens, tokens)
	size = len(p.GetText()) + len(p.GetData()) + pieceOverheadBytes
	if packed {
		size = len(p.GetText()) + packedOverheadBytes
	}
	if number == 0 {
		size += answerOverheadBytes
	}
	return size
}

// packable reports whether a piece can be restored from its number, text and tokens.
func (pp *packedPieces) packable(p *wire.Piece, number uint32) bool {
	switch {
	case p.GetRequest() != pp.request, p.GetAttempt() != pp.attempt, p.GetNumber() != number:
	case p.GetTokens() < 0, p.GetTokens() > maxPackedTokens:
	case p.GetStatus() != 0, len(p.GetHeaders()) > 0, len(p.GetData()) > 0:
	case p.GetLast(), p.GetAlive(), p.GetFinishReason() != "":
	case p.GetUsage() != nil, p.GetStep() != nil, p.GetRefusal() != nil, p.GetLoad() != nil:
	case p.GetRevision() != 0, p.GetTotalPieces() != 0, p.GetTotalTokens() != 0:
	default:
		return true
	}
	return false
}

// size returns the number of pieces.
func (pp *packedPieces) size() int { return len(pp.ends) }

// piece returns a piece by its number, which must be below size.
func (pp *packedPieces) piece(number uint32) *wire.Piece {
	if p := pp.unpacked[number]; p != nil {
		return p
	}
	from := uint32(0)
	if number > 0 {
		from = pp.ends[number-1]
	}
	return &wire.Piece{
		Request: pp.request, Attempt: pp.attempt, Number: number,
		Text: string(pp.text[from:pp.ends[number]]), Tokens: int32(pp.tokens[number]),
	}
}
