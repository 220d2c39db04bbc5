// Package classifier defines the numbered result codes, the outcome of a request and the error that carries both.
package classifier

// Code is a numbered result. docs/result-codes.md lists all codes.
type Code int

// Result codes. 1xx configuration, 2xx requests, 3xx node protocol, 4xx administration, 5xx platform.
const (
	CodeOK Code = 0

	CodeSourceDecode      Code = 101 // a source is not valid YAML or has an unknown field
	CodeSourceInvalid     Code = 102 // a field is out of range or missing
	CodeSourceReference   Code = 103 // a source refers to an object that does not exist
	CodeSourceDuplicate   Code = 104 // two sources claim the same name or host
	CodeEditConflict      Code = 105 // the base revision of an edit is no longer current
	CodeViewDigest        Code = 106 // a view, section or delta does not match its digest
	CodeViewFormat        Code = 107 // an object has a newer or unknown format
	CodeSourceTooLarge    Code = 108 // a source or section is over the size limit
	CodeSettingsInvalid   Code = 110 // the settings file or a flag is not valid
	CodeEditNotInForce    Code = 111 // the edit was accepted, but was not active by the end of the wait
	CodeVersionMissing    Code = 112 // the requested version is no longer stored
	CodeSetRefused        Code = 113 // the set of edits does not compile
	CodeUnknownHost       Code = 201 // no client account has this host
	CodeUnknownCall       Code = 202 // no call matches method and path
	CodeBodyTooLarge      Code = 203 // the request body is over the limit
	CodeDeadlinePassed    Code = 204 // the deadline passed before the request started
	CodeIDMalformed       Code = 205 // the request id is not a UUIDv7
	CodeInternalCall      Code = 206 // an internal call came from outside
	CodeTooDeep           Code = 207 // the call chain is deeper than the limit
	CodeIDFuture          Code = 208 // the creation time in the request id is in the future
	CodeIDExpired         Code = 209 // the request id is older than the memory window
	CodeIDUncertain       Code = 210 // too few owners can confirm whether the request with this id ran
	CodeMemoryFull        Code = 211 // the owners or the host node have no memory left for another id
	CodeDuplicateRunning  Code = 212 // another attempt with this id is in progress
	CodeOverload          Code = 220 // the request would miss its deadline in the queue
	CodeIsolated          Code = 221 // the request is suspected of crashing upstreams
	CodeDraining          Code = 222 // the node or the upstream is draining
	CodeNoUpstream        Code = 223 // no upstream of the service is available
	CodeCanceled          Code = 224 // the caller canceled before the request started
	CodeUpstreamUnreached Code = 225 // the upstream refused the connection
	CodeBodyMemory        Code = 226 // the node has no memory for the body
	CodeUnknownKey        Code = 227 // the key of the caller is missing or unknown
	CodeKeysStale         Code = 228 // the node cannot tell whether the key was withdrawn
	CodeAllotmentUsed     Code = 229 // the client account has used its allotment
	CodeNotReady          Code = 231 // the node has no confirmed configuration
	CodeOutcomeUnknown    Code = 240 // the request may have run, but its response was lost
	CodeAnswerTruncated   Code = 241 // the response ended before its declared length
	CodeAnswerGone        Code = 242 // the request ran, but its response is no longer stored

	CodePeerFormat   Code = 301 // a message has an unknown format number
	CodePeerTooLarge Code = 302 // a message is over the size limit
	CodePeerTimeout  Code = 303 // a peer did not respond by the deadline
	CodePeerClosed   Code = 304 // the connection to a peer broke
	CodePeerInvalid  Code = 305 // a message has a field out of range

	CodeTokenMissing  Code = 401 // no token, or an unknown one
	CodeTokenScope    Code = 402 // the token does not cover the object
	CodeBadRequest    Code = 403 // the body or query of an administration request is malformed
	CodeObjectMissing Code = 501 // the object does not exist
	CodeConflict      Code = 502 // the object has another revision
	CodeTooLarge      Code = 503 // the value is over the platform's limit
	CodeRateLimited   Code = 504 // the platform or the local token bucket refused the call
	CodeUnavailable   Code = 505 // the platform is down or did not respond by the deadline
	CodePlatformReply Code = 506 // the platform's response could not be decoded
)
