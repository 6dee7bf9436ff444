package operator

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"lynxwell.dev/lynxwell/resource"
	"lynxwell.dev/lynxwell/task"
)

// maxAnswerBytes bounds the size of a response body.
const maxAnswerBytes = 64 << 20

// changeAttempts is the maximum number of times that a change is sent while its result is
// unknown.
const changeAttempts = 5

// changeRetryDelay is the delay between two attempts to send a change.
const changeRetryDelay = 200 * time.Millisecond

// ClientConfig is the configuration of a Client.
type ClientConfig struct {
	// Address is a host's operator address.
	Address netip.AddrPort
	// Key is the operators' bearer key.
	Key string
}

// Client calls the operator API of one host.
type Client struct {
	cfg  ClientConfig
	http *http.Client
}

// NewClient returns a client; it opens no connection until the first call.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, http: &http.Client{Transport: &http.Transport{IdleConnTimeout: time.Minute}}}
}

// Close closes the idle connections.
func (cli *Client) Close() {
	cli.http.CloseIdleConnections()
}

// Resources returns every resource.
func (cli *Client) Resources(ctx context.Context) (EntryList, error) {
	var list EntryList
	err := cli.call(ctx, http.MethodGet, PathResources, nil, &list)
	return list, err
}

// Apply reads the current revisions and writes every resource of the set on
// condition that its revision hasn't changed. If another operator changes one of
// them in between, it returns an *AnswerError with CodeConflict.
func (cli *Client) Apply(ctx context.Context, set resource.Set) (ChangeResult, error) {
	list, err := cli.Resources(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	seen := revisionsOf(list)
	cha := ChangeBody{ID: NewChangeID()}
	for _, res := range set.Resources() {
		key := res.Key()
		cha.Edits = append(cha.Edits, EditBody{Kind: key.Kind, Name: key.Name, Seen: seen[key], Spec: res})
	}
	return cli.Change(ctx, cha)
}

// Delete reads the resource's current revision and removes the resource on
// condition that its revision hasn't changed. If the resource doesn't exist or
// another operator changes it in between, it returns an *AnswerError with
// CodeNotFound or CodeConflict.
func (cli *Client) Delete(ctx context.Context, key resource.Key) (ChangeResult, error) {
	list, err := cli.Resources(ctx)
	if err != nil {
		return ChangeResult{}, err
	}
	seen := revisionsOf(list)
	if seen[key] == 0 {
		return ChangeResult{}, &AnswerError{Status: http.StatusNotFound, Body: ErrorBody{Code: CodeNotFound, Message: "there is no " + key.String()}}
	}
	edi := EditBody{Kind: key.Kind, Name: key.Name, Seen: seen[key], Delete: true}
	return cli.Change(ctx, ChangeBody{ID: NewChangeID(), Edits: []EditBody{edi}})
}

func revisionsOf(list EntryList) map[resource.Key]uint64 {
	seen := make(map[resource.Key]uint64, len(list.Entries))
	for _, ent := range list.Entries {
		seen[ent.Resource.Key()] = ent.Revision
	}
	return seen
}

// NewChangeID returns a random id for a change.
func NewChangeID() string {
	var raw [12]byte
	// crypto/rand's Read never fails.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// Change writes a change. If no reply arrives or the reply has CodeNotDecided, it
// sends the change again under the same id, so that the change takes effect at
// most once. It returns a *NotDecidedError if the result is still unknown after the
// last attempt or when the context is done.
func (cli *Client) Change(ctx context.Context, cha ChangeBody) (ChangeResult, error) {
	var res ChangeResult
	var err error
	for range changeAttempts {
		err = cli.call(ctx, http.MethodPost, PathChanges, cha, &res)
		if err == nil || isDecided(err) {
			return res, err
		}
		if !task.Sleep(ctx, changeRetryDelay) {
			break
		}
	}
	return res, &NotDecidedError{ChangeID: cha.ID, Cause: err}
}

func isDecided(err error) bool {
	var aer *AnswerError
	return errors.As(err, &aer) && aer.Body.Code != CodeNotDecided
}

// Status returns the status that the hosts report.
func (cli *Client) Status(ctx context.Context) (Status, error) {
	var sta Status
	err := cli.call(ctx, http.MethodGet, PathStatus, nil, &sta)
	return sta, err
}

// Dump returns the state of the host's process as JSON.
func (cli *Client) Dump(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	err := cli.call(ctx, http.MethodGet, PathDump, nil, &raw)
	return raw, err
}

// Metrics returns the metrics of the host's process as JSON.
func (cli *Client) Metrics(ctx context.Context) (json.RawMessage, error) {
	var raw json.RawMessage
	err := cli.call(ctx, http.MethodGet, PathMetrics, nil, &raw)
	return raw, err
}

// Watch calls handle with each new status. It returns nil once handle returns false,
// and an error if the stream ends or the context is done before.
func (cli *Client) Watch(ctx context.Context, handle func(Status) bool) error {
	rep, err := cli.do(ctx, http.MethodGet, PathWatch, nil)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	lines := bufio.NewReader(rep.Body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return errors.Wrap(err, "read status stream")
		}
		var sta Status
		if err := json.Unmarshal(line, &sta); err != nil {
			return errors.Wrap(err, "decode status")
		}
		if !handle(sta) {
			return nil
		}
	}
}

func (cli *Client) do(ctx context.Context, method, path string, body any) (*http.Response, error) {
	var reader io.Reader = http.NoBody
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, errors.Wrap(err, "encode request body")
		}
		reader = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+cli.cfg.Address.String()+path, reader)
	if err != nil {
		return nil, errors.Wrap(err, "build request")
	}
	req.Header.Set("Authorization", "Bearer "+cli.cfg.Key)
	rep, err := cli.http.Do(req)
	if err != nil {
		return nil, errors.Wrapf(err, "host %s", cli.cfg.Address)
	}
	if rep.StatusCode == http.StatusOK {
		return rep, nil
	}
	defer rep.Body.Close()
	aer := &AnswerError{Status: rep.StatusCode}
	data, _ := io.ReadAll(io.LimitReader(rep.Body, maxAnswerBytes))
	if json.Unmarshal(data, &aer.Body) != nil {
		aer.Body.Message = string(data)
	}
	return nil, aer
}

func (cli *Client) call(ctx context.Context, method, path string, body, res any) error {
	rep, err := cli.do(ctx, method, path, body)
	if err != nil {
		return err
	}
	defer rep.Body.Close()
	data, err := io.ReadAll(io.LimitReader(rep.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "read response body")
	}
	return errors.Wrap(json.Unmarshal(data, res), "decode response body")
}
