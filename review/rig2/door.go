package main

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// door is an address of the store that one machine alone uses, so that the store can turn that machine away.
type door struct {
	address     string
	mutex       sync.Mutex
	silentUntil time.Time
}

// doorKey is the key of the door in the context of a call.
type doorKey struct{}

// silence makes the store say nothing to the machine for a time, in calls that wait as well.
func (dor *door) silence(duration time.Duration) {
	dor.mutex.Lock()
	defer dor.mutex.Unlock()
	dor.silentUntil = time.Now().Add(duration)
}

func (dor *door) isSilent() bool {
	dor.mutex.Lock()
	defer dor.mutex.Unlock()
	return time.Now().Before(dor.silentUntil)
}

// doorWriter gives no answer while its door is silent.
type doorWriter struct {
	http.ResponseWriter
	door    *door
	context context.Context
}

// WriteHeader implements http.ResponseWriter.
func (dwr doorWriter) WriteHeader(status int) {
	if dwr.door.isSilent() {
		<-dwr.context.Done()
		panic(http.ErrAbortHandler)
	}
	dwr.ResponseWriter.WriteHeader(status)
}

// openDoor opens a further address of the store.
func (sto *platformStore) openDoor() *door {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		cannotRun("%v", err)
	}
	dor := &door{address: lis.Addr().String()}
	go http.Serve(lis, http.HandlerFunc(func(wri http.ResponseWriter, req *http.Request) {
		if dor.isSilent() {
			<-req.Context().Done()
			panic(http.ErrAbortHandler)
		}
		ctx := context.WithValue(req.Context(), doorKey{}, dor)
		sto.handler.ServeHTTP(doorWriter{wri, dor, ctx}, req.WithContext(ctx))
	}))
	return dor
}
