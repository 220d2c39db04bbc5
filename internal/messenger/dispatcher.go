package messenger

import (
	"reflect"
	"runtime/debug"
	"strings"
	"sync"

	"go.uber.org/zap"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
)

// serviceMethod is the only method registered with net/rpc. net/rpc does not recover panics, so a panic in a method
// would end the process; the dispatcher runs the requested method and turns a panic into an error.
const (
	serviceName   = "Dispatcher"
	serviceMethod = serviceName + ".Invoke"
)

// dispatcher looks up a registered method by name and runs it.
type dispatcher struct {
	methods         sync.Map // qualified name (string) to method
	logger          *zap.Logger
	propagatePanics bool // turns off recovery; only tests set it
}

type method struct {
	call      reflect.Value
	arguments reflect.Type
	reply     reflect.Type
}

var errorType = reflect.TypeFor[error]()

// register adds each method of receiver with the signature func(arguments *A, reply *R) error.
func (d *dispatcher) register(name string, receiver any) error {
	value := reflect.ValueOf(receiver)
	count := 0
	for i := range value.NumMethod() {
		call := value.Method(i)
		signature := call.Type()
		if signature.NumIn() != 2 || signature.NumOut() != 1 || signature.Out(0) != errorType ||
			signature.In(0).Kind() != reflect.Pointer || signature.In(1).Kind() != reflect.Pointer {
			continue
		}
		qualifiedName := name + "." + value.Type().Method(i).Name
		entry := method{call: call, arguments: signature.In(0).Elem(), reply: signature.In(1).Elem()}
		if _, loaded := d.methods.LoadOrStore(qualifiedName, entry); loaded {
			return classifier.New(classifier.CodePeerInvalid, qualifiedName, "method is already registered")
		}
		count++
	}
	if count == 0 {
		return classifier.New(classifier.CodePeerInvalid, name, "receiver has no method that can be called")
	}
	return nil
}

// Invoke is called by net/rpc with an encoded request and returns an encoded reply body.
func (d *dispatcher) Invoke(request, reply *[]byte) error {
	var f frame
	if err := decode(*request, &f); err != nil {
		return newEncodedError(err)
	}
	body, err := d.run(f)
	if err != nil {
		return newEncodedError(err)
	}
	*reply = body
	return nil
}

func (d *dispatcher) run(f frame) (body []byte, err error) {
	value, ok := d.methods.Load(f.Method)
	if !ok {
		return nil, classifier.New(classifier.CodePeerInvalid, f.Method[:min(len(f.Method), 64)], "method is not known")
	}
	entry, ok := value.(method)
	if !ok {
		return nil, classifier.New(classifier.CodePeerInvalid, f.Method, "method is not known")
	}
	defer func() {
		if d.propagatePanics {
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

// encodedError is an error whose text is the output of encodeError.
type encodedError string

func newEncodedError(err error) error {
	return encodedError(encodeError(err))
}

func (e encodedError) Error() string {
	return strings.ToValidUTF8(string(e), "?")
}
