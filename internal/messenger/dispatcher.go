package messenger

import (
	"reflect"
	"runtime/debug"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// serviceMethod is the one method that net/rpc itself knows. net/rpc runs methods without recovery, so a panic in
// one would end the process; the dispatcher runs the named method and turns a panic into an error.
const (
	serviceName   = "Dispatcher"
	serviceMethod = serviceName + ".Invoke"
)

// dispatcher runs registered methods by name.
type dispatcher struct {
	methods sync.Map // string to method
	logger  *zap.Logger
	panics  bool // lets a panic pass; only tests set it
}

type method struct {
	call      reflect.Value
	arguments reflect.Type
	reply     reflect.Type
}

var errorType = reflect.TypeFor[error]()

// register adds each method of receiver with the shape func(arguments *A, reply *R) error.
func (d *dispatcher) register(name string, receiver any) error {
	value := reflect.ValueOf(receiver)
	found := 0
	for i := range value.NumMethod() {
		call := value.Method(i)
		shape := call.Type()
		if shape.NumIn() != 2 || shape.NumOut() != 1 || shape.Out(0) != errorType ||
			shape.In(0).Kind() != reflect.Pointer || shape.In(1).Kind() != reflect.Pointer {
			continue
		}
		full := name + "." + value.Type().Method(i).Name
		entry := method{call: call, arguments: shape.In(0).Elem(), reply: shape.In(1).Elem()}
		if _, loaded := d.methods.LoadOrStore(full, entry); loaded {
			return classifier.New(classifier.CodePeerInvalid, full, "method is already registered")
		}
		found++
	}
	if found == 0 {
		return classifier.New(classifier.CodePeerInvalid, name, "receiver has no method that can be called")
	}
	return nil
}

// Invoke is called by net/rpc with an encoded request and returns an encoded reply body.
func (d *dispatcher) Invoke(request, reply *[]byte) error {
	var f frame
	if err := decode(*request, &f); err != nil {
		return packed(err)
	}
	body, err := d.run(f)
	if err != nil {
		return packed(err)
	}
	*reply = body
	return nil
}

func (d *dispatcher) run(f frame) (body []byte, err error) {
	found, ok := d.methods.Load(f.Method)
	if !ok {
		return nil, classifier.New(classifier.CodePeerInvalid, f.Method[:min(len(f.Method), 64)], "method is not known")
	}
	entry, ok := found.(method)
	if !ok {
		return nil, classifier.New(classifier.CodePeerInvalid, f.Method, "method is not known")
	}
	defer func() {
		if d.panics {
			return
		}
		if cause := recover(); cause != nil {
			d.logger.Error("messenger: method panicked", zap.String("method", f.Method), zap.Any("cause", cause),
				zap.ByteString("stack", debug.Stack()))
			err = classifier.New(classifier.CodePeerInvalid, f.Method, "method failed: %v", cause)
		}
	}()
	arguments, reply := reflect.New(entry.arguments), reflect.New(entry.reply)
	if err := decode(f.Body, arguments.Interface()); err != nil {
		return nil, err
	}
	result := entry.call.Call([]reflect.Value{arguments, reply})
	if failure, failed := result[0].Interface().(error); failed {
		return nil, failure
	}
	return encode(reply.Interface())
}

// packedError is an error whose text is already in the form that packError gives.
type packedError string

func packed(err error) error {
	return packedError(packError(err))
}

func (e packedError) Error() string {
	return strings.ToValidUTF8(string(e), "?")
}
