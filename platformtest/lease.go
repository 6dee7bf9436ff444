package platformtest

import (
	"context"
	"time"

	"lynxwell.dev/lynxwell/store"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// expireLeases removes the leases that weren't renewed in time, with their keys.
func (mem *Memory) expireLeases() {
	now := mem.cfg.Now()
	for id, lea := range mem.leases {
		if !now.Before(lea.expires) {
			mem.removeLease(id)
		}
	}
}

func (mem *Memory) removeLease(id store.LeaseID) {
	delete(mem.leases, id)
	for key, val := range mem.values {
		if val.Lease == id {
			mem.remove(key)
		}
	}
}

// leaseCheckInterval is the interval at which a waiting watch checks for expired leases.
const leaseCheckInterval = 50 * time.Millisecond

// GrantLease implements store.Store.
func (mem *Memory) GrantLease(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := mem.beginCall(ctx, "GrantLease"); err != nil {
		return store.LeaseID{}, err
	}
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.lastID.Number++
	mem.leases[mem.lastID] = &lease{ttl: ttl, expires: mem.cfg.Now().Add(ttl)}
	return mem.lastID, mem.loseReply("GrantLease")
}

// RenewLease implements store.Store.
func (mem *Memory) RenewLease(ctx context.Context, id store.LeaseID) error {
	if err := mem.beginCall(ctx, "RenewLease"); err != nil {
		return err
	}
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	mem.expireLeases()
	lea := mem.leases[id]
	if lea == nil {
		return &store.LeaseError{Lease: id}
	}
	lea.expires = mem.cfg.Now().Add(lea.ttl)
	return mem.loseReply("RenewLease")
}

// RevokeLease implements store.Store.
func (mem *Memory) RevokeLease(ctx context.Context, id store.LeaseID) error {
	if err := mem.beginCall(ctx, "RevokeLease"); err != nil {
		return err
	}
	mem.mutex.Lock()
	defer mem.mutex.Unlock()
	if mem.leases[id] == nil {
		return &store.LeaseError{Lease: id}
	}
	mem.removeLease(id)
	return mem.loseReply("RevokeLease")
}
