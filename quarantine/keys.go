package quarantine

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"strings"
	"sync"
)

const (
	// requestPrefix precedes the digest of a request in its key.
	requestPrefix = "request:"
	// digestBytes is the length of a request's digest. Different requests must not share one: a sound request
	// would be kept out in place of another one.
	digestBytes = 16
)

// Key returns the name under which a block is known. Different blocks have different keys: with a
// short hash, a sound block could be kept out in place of another one.
func Key(id string) string {
	if len(id) <= maxKeyBytes && !isRequest(id) {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	return "sha256:" + hex.EncodeToString(digest[:])[:maxKeyBytes-len("sha256:")]
}

// isRequest reports whether a key is that of a request and not of a block.
func isRequest(key string) bool { return strings.HasPrefix(key, requestPrefix) }

// Keys are what a request is known by. They are the same for each attempt and each repeat by the caller.
type Keys struct {
	// shared holds the blocks that requests of others may have: all but the last one, which belongs to the
	// request or its session.
	shared []string
	// request returns the key of the request itself; nil if it has none.
	request func() string
}

// NewKeys returns the keys of a request by the IDs of its prompt's blocks. content returns all that endpoints see of the
// request and that is the same in each repeat; nil if only the blocks count. It is called at most once, when the
// request is a suspect.
func NewKeys(blocks []string, content func() [][]byte) *Keys {
	k := &Keys{}
	for i := range len(blocks) - 1 {
		k.shared = append(k.shared, Key(blocks[i]))
	}
	if content != nil {
		k.request = sync.OnceValue(func() string { return requestKey(content()) })
	}
	return k
}

// requestKey returns the key of a request with the given content.
func requestKey(content [][]byte) string {
	h := sha256.New()
	for _, part := range content {
		length := uint64(len(part))
		_, _ = h.Write([]byte{byte(length), byte(length >> 8), byte(length >> 16), byte(length >> 24)})
		_, _ = h.Write(part)
	}
	return requestPrefix + base64.RawURLEncoding.EncodeToString(h.Sum(nil)[:digestBytes])
}

// Shared returns the keys of the blocks that requests of others may have. Callers must not change them.
func (k *Keys) Shared() []string { return k.shared }

// Request returns the key of the request itself; empty if it has none.
func (k *Keys) Request() string {
	if k.request == nil {
		return ""
	}
	return k.request()
}
