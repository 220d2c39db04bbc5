package router

import (
	"testing"

	"github.com/jasmineproxy/jasmineproxy/internal/classifier"
	"github.com/jasmineproxy/jasmineproxy/internal/compiler"
)

func testView() *compiler.View {
	call := func(name, method, path, rank string) compiler.Call {
		return compiler.Call{Name: name, Service: "s", Method: method, Path: path, Rank: rank, Timeout: 100}
	}
	return &compiler.View{Version: 3, Accounts: []compiler.Account{{
		Name: "ochre", Host: "Ochre.example", Ranks: []compiler.Rank{{Name: "urgent", Order: 1}},
		Calls: []compiler.Call{
			call("root", "GET", "/", "urgent"), call("prices", "GET", "/prices", "urgent"),
			call("today", "GET", "/prices/today/", "urgent"), call("weigh", "POST", "/weigh", "urgent"),
			call("lost", "GET", "/lost", "none"),
		},
	}}}
}

// Guards against a request that matches a call other than the longest path prefix at a segment boundary, or a call of
// another account.
func TestMatch(t *testing.T) {
	view := testView()
	for _, c := range []struct {
		host, method, path, call string
		code                     classifier.Code
	}{
		{"ochre.example", "GET", "/prices", "prices", 0},
		{"OCHRE.example.:8080", "GET", "/prices/", "prices", 0},
		{"ochre.example", "GET", "/prices/today/9", "today", 0},
		{"ochre.example", "GET", "/pricesoftoday", "root", 0},
		{"ochre.example", "GET", "/", "root", 0},
		{"ochre.example", "POST", "/weigh/5", "weigh", 0},
		{"ochre.example", "POST", "/prices", "", classifier.CodeUnknownCall},
		{"ochre.example", "PUT", "/", "", classifier.CodeUnknownCall},
		{"ochre.example", "GET", "/lost", "root", 0},
		{"ochre.example", "GET", "/x/../prices", "", classifier.CodeUnknownCall},
		{"ochre.example", "GET", "//prices", "", classifier.CodeUnknownCall},
		{"wick.example", "GET", "/", "", classifier.CodeUnknownHost},
		{"", "GET", "/", "", classifier.CodeUnknownHost},
	} {
		route, err := Match(view, c.host, c.method, c.path)
		if classifier.CodeOf(err) != c.code || err == nil && route.Call.Name != c.call {
			t.Errorf("%s %s%s: call %v, error %v", c.method, c.host, c.path, route.Call, err)
		}
	}
}

// Guards against an index that is rebuilt for each request or kept after the view changes.
func TestMatcherRebuildsIndexForNewView(t *testing.T) {
	var m Matcher
	first, second := testView(), testView()
	second.Accounts[0].Calls = second.Accounts[0].Calls[3:4]
	second.Version = 4
	for _, view := range []*compiler.View{first, first, second} {
		before := m.current.Load()
		route, err := m.Match(view, "ochre.example", "POST", "/weigh")
		if err != nil || route.Version != view.Version {
			t.Fatalf("route %+v, error %v", route, err)
		}
		if before != nil && (before.view == view) != (before == m.current.Load()) {
			t.Fatal("the index is not rebuilt exactly when the view changes")
		}
	}
	if _, err := m.Match(second, "ochre.example", "GET", "/prices"); err == nil {
		t.Fatal("a call of the old view still matches")
	}
}
