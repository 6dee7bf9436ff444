package caller

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"lynxwell.dev/lynxwell/backend"
	"lynxwell.dev/lynxwell/view"
)

// relayBufferBytes is the size of the buffer through which a relayed answer is copied.
const relayBufferBytes = 16 << 10

// relayRequest relays a request to the gateway that handles it, and the answer back to
// the client.
func (srv *Server) relayRequest(wri http.ResponseWriter, req *http.Request, sub *submission, to view.Member) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	watchDone := srv.watchPeer(ctx, cancel, to)
	rep, err := srv.sendRelayed(ctx, req, sub, to)
	if err != nil {
		cancel()
		<-watchDone
		if isDone(req.Context()) {
			return
		}
		srv.retryRelay(wri, req, sub, Relayed{To: to})
		return
	}
	defer rep.Body.Close()
	for name, values := range backend.EndToEnd(rep.Header) {
		wri.Header()[name] = values
	}
	wri.WriteHeader(rep.StatusCode)
	err = copyFlushed(wri, rep.Body)
	cancel()
	<-watchDone
	srv.logEnd(sub, rep.StatusCode, "Relayed", "")
	if err != nil {
		panic(http.ErrAbortHandler)
	}
}

// watchPeer cancels the relay when the peer stops responding. The channel receives a value
// when the watch has ended.
func (srv *Server) watchPeer(ctx context.Context, cancel context.CancelFunc, to view.Member) <-chan error {
	done := make(chan error, 1)
	go func() {
		err := srv.cfg.Backend.WaitUnreachable(ctx, to)
		cancel()
		done <- err
	}()
	return done
}

func (srv *Server) sendRelayed(ctx context.Context, req *http.Request, sub *submission, to view.Member) (*http.Response, error) {
	url := "http://" + to.CallerAddress.String() + req.URL.RequestURI()
	out, err := http.NewRequestWithContext(ctx, req.Method, url, bytes.NewReader(sub.body))
	if err != nil {
		return nil, err
	}
	out.Header = backend.EndToEnd(req.Header)
	out.Header.Set(HeaderRelayed, srv.cfg.HostName)
	out.Header.Set(HeaderID, sub.arrived.ID.String())
	return srv.relayClient.Do(out)
}

// copyFlushed copies the body to the client and flushes after each read, so that streamed events
// aren't delayed.
func copyFlushed(wri http.ResponseWriter, body io.Reader) error {
	controller := http.NewResponseController(wri)
	buf := make([]byte, relayBufferBytes)
	for {
		count, err := body.Read(buf)
		if count > 0 {
			_ = controller.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, werr := wri.Write(buf[:count]); werr != nil {
				return werr
			}
			if werr := controller.Flush(); werr != nil {
				return werr
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
