// Package classifier defines the numbered result codes, the outcome of a request and the error that carries both.
package classifier

// Code is a numbered result. docs/result-codes.md has the table.
type Code int

// Result codes. 1xx configuration, 2xx requests, 3xx node protocol, 4xx administration, 5xx platform.
const (
	CodeOK Code = 0

	CodeSourceDecode      Code = 101 // a source is not valid YAML or has an unknown field
	CodeSourceInvalid     Code = 102 // a field is out of range or missing
	CodeSourceReference   Code = 103 // a source names a thing that does not exist
	CodeSourceDuplicate   Code = 104 // two sources claim the same name or host
	CodeEditConflict      Code = 105 // the base revision of an edit is no longer current
	CodeViewDigest        Code = 106 // a view, section or delta does not match its digest
	CodeViewFormat        Code = 107 // an object has a newer or unknown format
	CodeSourceTooLarge    Code = 108 // a source or section is over the size limit
	CodeSettingsInvalid   Code = 110 // the settings file or a flag is not valid
	CodeEditNotInForce    Code = 111 // accepted, but not seen in force within the wait
	CodeVersionMissing    Code = 112 // the asked version is not kept any more
	CodeSetRefused        Code = 113 // the set of edits does not compile
	CodeUnknownHost       Code = 201 // no client account has this host
	CodeUnknownCall       Code = 202 // no call matches method and path
	CodeBodyTooLarge      Code = 203 // the request body is over the limit
	CodeDeadlinePassed    Code = 204 // the deadline passed before the request started
	CodeIDMalformed       Code = 205 // the request id is not a UUIDv7
	CodeInternalCall      Code = 206 // an internal call came from outside
	CodeTooDeep           Code = 207 // the call chain is deeper than the limit
	CodeIDFuture          Code = 208 // the request id is born in the future
	CodeIDExpired         Code = 209 // the request id is older than the memory window
	CodeIDUncertain       Code = 210 // too few owners can tell whether the id ran
	CodeMemoryFull        Code = 211 // no room to remember another id
	CodeDuplicateRunning  Code = 212 // the id is held by another attempt
	CodeOverload          Code = 220 // the work would miss its deadline in the queue
	CodeIsolated          Code = 221 // the request is suspected to crash upstreams
	CodeDraining          Code = 222 // the upstream is leaving
	CodeNoUpstream        Code = 223 // no upstream of the service is available
	CodeCanceled          Code = 224 // the caller canceled before the request started
	CodeUpstreamUnreached Code = 225 // the upstream refused the connection
	CodeNotReady          Code = 231 // the node has no confirmed configuration
	CodeOutcomeUnknown    Code = 240 // the request may have run and its answer is lost
	CodeAnswerTruncated   Code = 241 // the answer ended before its stated length
	CodeAnswerGone        Code = 242 // the request ran and its answer is not kept any more

	CodePeerFormat   Code = 301 // a message has an unknown format number
	CodePeerTooLarge Code = 302 // a message is over the size limit
	CodePeerTimeout  Code = 303 // a peer did not answer by the deadline
	CodePeerClosed   Code = 304 // the connection to a peer broke
	CodePeerInvalid  Code = 305 // a message has a field out of range

	CodeTokenMissing  Code = 401 // no token, or an unknown one
	CodeTokenScope    Code = 402 // the token does not cover the object
	CodeBadRequest    Code = 403 // the body or query of an administration request is malformed
	CodeObjectMissing Code = 501 // the object does not exist
	CodeConflict      Code = 502 // the object has another revision
	CodeTooLarge      Code = 503 // the value is over the platform's limit
	CodeRateLimited   Code = 504 // the platform or the local token bucket refused the call
	CodeUnavailable   Code = 505 // the platform is down or did not answer by the deadline
	CodePlatformReply Code = 506 // the platform's answer could not be decoded
)
