// Package fennelyard is the client for callers of a fennelyard deployment.
//
// A Client fetches the directory of entries from the deployment, caches it for
// the time that the deployment sets, and sends requests to the addresses in it. A
// repeatable request is retried at another address when an attempt fails. A
// request that must not run twice carries an idempotency key, by which the
// deployment distinguishes a retry from a new request.
package fennelyard
