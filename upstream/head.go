package upstream

import (
	"net/http"
	"strconv"
	"sync/atomic"

	"lynxwell.dev/lynxwell/transport"
)

// HeadTooLargeError reports bytes that don't end as the head of an answer within the size limit: bytes that form no answer
// may come without end.
type HeadTooLargeError struct {
	// Limit is in bytes.
	Limit int64
}

// Error returns the limit.
func (htl *HeadTooLargeError) Error() string {
	return "head of the answer is larger than the limit of " + strconv.FormatInt(htl.Limit, 10) + " bytes"
}

// headLimit bounds the bytes that a connection reads while it reads the head of an answer.
type headLimit struct {
	// left is what may still be read; noHeadLimit outside of heads.
	left atomic.Int64
}

const noHeadLimit = -1

// bound returns how many of the bytes may be read.
func (hli *headLimit) bound(count int) (int, error) {
	left := hli.left.Load()
	switch left {
	case noHeadLimit:
		return count, nil
	case 0:
		return 0, &HeadTooLargeError{Limit: transport.MaxHeadBytes}
	default:
		return int(min(int64(count), left)), nil
	}
}

func (hli *headLimit) read(count int) {
	if left := hli.left.Load(); left != noHeadLimit {
		hli.left.Store(max(0, left-int64(count)))
	}
}

// readHead reads the head of the next answer, of at most transport.MaxHeadBytes behind what is in the read buffer. It
// returns a *transport.MalformedHeadError for one that is no answer of HTTP/1.
func (con *connection) readHead(req *http.Request) (*http.Response, error) {
	con.head.left.Store(transport.MaxHeadBytes)
	defer con.head.left.Store(noHeadLimit)
	rep, err := http.ReadResponse(con.reader, req)
	if err != nil {
		return nil, err
	}
	return rep, transport.CheckHead(rep)
}
