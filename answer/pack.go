package answer

import (
	"github.com/parsleydeal/parsleydeal/peer/wire"
	"google.golang.org/protobuf/proto"
)

const (
	// packedOverhead is what a piece of text alone takes beside its bytes.
	packedOverhead = 5
	// pieceOverhead is about what any other piece takes beside text and data.
	pieceOverhead = 320
	// answerOverhead is about what an answer takes beside its pieces.
	answerOverhead = 600
	// maxPackedTokens is the most tokens that a packed piece can count.
	maxPackedTokens = 255
)

// pack holds the pieces of one attempt. Nearly all of them add a word of text to
// an answer; as messages they would take 260 bytes each, and the answers that an
// endpoint keeps would fill its memory within minutes.
type pack struct {
	request string
	attempt uint32
	// text holds the words of all packed pieces; ends and tokens are by piece
	// number and tell where each ends and what it counts.
	text   []byte
	ends   []uint32
	tokens []uint8
	// whole holds the pieces that have more than text, by number.
	whole map[uint32]*wire.Piece
}

// add keeps a copy of the next piece and returns about how many bytes it takes.
func (k *pack) add(p *wire.Piece) (size int) {
	number := uint32(len(k.ends))
	if number == 0 {
		k.request, k.attempt = p.GetRequest(), p.GetAttempt()
		k.whole = make(map[uint32]*wire.Piece)
	}
	plain := k.plain(p, number)
	tokens := uint8(0)
	if plain {
		k.text = append(k.text, p.GetText()...)
		tokens = uint8(p.GetTokens())
	} else {
		// A copy, since the last piece points into its attempt: kept as it is, it
		// would keep the attempt and its stream's buffers, several KB an answer.
		k.whole[number] = proto.Clone(p).(*wire.Piece)
	}
	k.ends = append(k.ends, uint32(len(k.text)))
	k.tokens = append(k.tokens, tokens)
	size = len(p.GetText()) + len(p.GetData()) + pieceOverhead
	if plain {
		size = len(p.GetText()) + packedOverhead
	}
	if number == 0 {
		size += answerOverhead
	}
	return size
}

// plain reports whether a piece can be made again from its text and tokens.
func (k *pack) plain(p *wire.Piece, number uint32) bool {
	switch {
	case p.GetRequest() != k.request, p.GetAttempt() != k.attempt, p.GetNumber() != number:
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

// size returns how many pieces are held.
func (k *pack) size() int { return len(k.ends) }

// piece returns a piece by its number, which must be below size.
func (k *pack) piece(number uint32) *wire.Piece {
	if p := k.whole[number]; p != nil {
		return p
	}
	from := uint32(0)
	if number > 0 {
		from = k.ends[number-1]
	}
	return &wire.Piece{
		Request: k.request, Attempt: k.attempt, Number: number,
		Text: string(k.text[from:k.ends[number]]), Tokens: int32(k.tokens[number]),
	}
}
