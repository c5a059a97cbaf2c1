package routing

import (
	"reflect"
	"testing"
	"time"
)

// Guards against a snapshot that shares the upstreams of the previous one although one of them has changed.
func TestSameComparesEveryFieldOfAnUpstream(t *testing.T) {
	setByBuildIndexes := map[string]bool{"idHash": true, "PreferencePenalty": true}
	fields := reflect.TypeFor[Upstream]()
	for i := range fields.NumField() {
		name := fields.Field(i).Name
		if setByBuildIndexes[name] {
			continue
		}
		var changed Upstream
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch value := field.Interface().(type) {
		case time.Time:
			field.Set(reflect.ValueOf(time.Unix(1, 0)))
		case []string:
			field.Set(reflect.ValueOf([]string{"a"}))
		case *Counters:
			field.Set(reflect.ValueOf(&Counters{}))
		default:
			switch field.Kind() {
			case reflect.String:
				field.SetString("a")
			case reflect.Bool:
				field.SetBool(true)
			case reflect.Int, reflect.Int64:
				field.SetInt(1)
			case reflect.Float64:
				field.SetFloat(1)
			case reflect.Struct:
				field.Field(0).SetInt(1)
			default:
				t.Fatalf("the field %s has the unexpected type %T", name, value)
			}
		}
		if changed.Same(&Upstream{}) {
			t.Errorf("an upstream with another %s counts as the same", name)
		}
	}
}
