// Package mirror keeps a host's copy of the store, passes it on to other hosts, and decides from where the
// host reads it: one host of a failure domain reads the store, the others read through it, in a tree.
//
// # Usage
//
//	cop := mirror.NewCopy(clk.Now) // serves other hosts, as peer.Mirror
//	rea := mirror.NewReader(mirror.Config{Self: mem, Started: now, Jitter: rand.N})
//	for {
//		switch stp := rea.Next(now, sit).(type) {
//		case mirror.ReadHost: // call stp.Member, then
//			rea.HostRead(sit, stp.Member, confirmed) // or HostFailed
//		case mirror.ReadStore: // call the store, then
//			rea.StoreRead(now) // or StoreFailed
//		...
//		}
//	}
//
// Each copy carries the time at which the store last confirmed it, so that its age is known however many
// hosts it came through. A host judges other hosts by the age of their copies, and by nothing else but
// whether they answer and whether they have lost the store themselves. The age of a host's own copy is
// bounded by the time that its steps take: a host that answers nothing, or has nothing new, is left after
// a second, and each further source is given a few tenths of a second.
package mirror
