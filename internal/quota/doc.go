// Package quota keeps limits that hold for the whole fleet: the rates of tenants and
// of retries, and others. The leader grants nodes leases on shares of a limit for a
// short time, and the shares that may be in use never sum to more than the limit.
//
// The leader counts a lease from when it responded, the holder from when it asked, so
// the holder always stops first. A lease counts on for the limit's window after it has
// expired, because what was done under it still counts then. A new leader grants
// nothing until every lease of its predecessor must have expired.
//
// [Allocator] and [RateAllocator] belong to the leader; [Leases], [TokenBucket] and
// [Window] to a node. None has a lock: its owner calls it from one goroutine at a time.
// Time is a duration on the owner's monotonic clock.
package quota
