// Package fennelyard is the client for callers of a fennelyard deployment.
//
// A Client asks the deployment which of its addresses to use, keeps that answer
// for as long as it may be kept, and sends requests there. A request that may be
// repeated moves on to another address when one fails. A request that must not
// run twice carries a key, by which the deployment tells a resend from a new
// request.
package fennelyard
