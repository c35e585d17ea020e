package config

import (
	"errors"
	"maps"
	"os"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"calicohinge/policy"
)

// valueTypes returns the type of each value in a struct type, by its path. The parts of a path are JSON names, or
// field names if there are no tags. A list of structs has an entry, as has each value in its elements.
func valueTypes(structType reflect.Type, prefix string) map[string]reflect.Type {
	found := map[string]reflect.Type{}
	for field := range structType.Fields() {
		path := prefix + field.Name
		if name := field.Tag.Get("json"); name != "" {
			path = prefix + name
		}
		fieldType := field.Type
		if fieldType.Kind() == reflect.Pointer {
			fieldType = fieldType.Elem()
		}
		switch {
		case fieldType.Kind() == reflect.Struct:
			maps.Copy(found, valueTypes(fieldType, path+"."))
		case fieldType.Kind() == reflect.Slice && fieldType.Elem().Kind() == reflect.Struct:
			found[path] = fieldType
			maps.Copy(found, valueTypes(fieldType.Elem(), path+"[]."))
		default:
			found[path] = fieldType
		}
	}
	return found
}

// checkSameElements reports an error for each element that is in only one of the lists.
func checkSameElements(t *testing.T, got, want []string) {
	t.Helper()
	for _, element := range got {
		if !slices.Contains(want, element) {
			t.Errorf("%s is unexpected", element)
		}
	}
	for _, element := range want {
		if !slices.Contains(got, element) {
			t.Errorf("%s is missing", element)
		}
	}
}

func TestTableHasEachDecodedKeyOnce(t *testing.T) {
	decoded := valueTypes(reflect.TypeFor[settingsJSON](), "")
	maps.Copy(decoded, valueTypes(reflect.TypeFor[nodeSettings](), ""))
	var keys []string
	for _, s := range settingsTable() {
		if slices.Contains(keys, s.key) {
			t.Errorf("key %s is in the table twice, want it once", s.key)
		}
		keys = append(keys, s.key)
	}
	checkSameElements(t, keys, slices.Collect(maps.Keys(decoded)))
}

func TestTableHasEachPolicyFieldOnce(t *testing.T) {
	fields := valueTypes(reflect.TypeFor[policy.Settings](), "")
	var mapped []string
	for _, s := range settingsTable() {
		if s.field == "" {
			continue
		}
		if slices.Contains(mapped, s.field) {
			t.Errorf("field %s is in the table twice, want it once", s.field)
		}
		mapped = append(mapped, s.field)
		isDuration := fields[s.field] == reflect.TypeFor[time.Duration]()
		if isDuration != (s.kind == kindMilliseconds) {
			t.Errorf("kind of %s: got %d, want kindMilliseconds exactly if its field is a duration (%v)",
				s.field, s.kind, isDuration)
		}
	}
	checkSameElements(t, mapped, slices.Collect(maps.Keys(fields)))
}

func TestKeysEndInMsIfInMilliseconds(t *testing.T) {
	for _, s := range settingsTable() {
		if strings.HasSuffix(s.key, "Ms") != (s.kind == kindMilliseconds) {
			t.Errorf("kind of %s: got %d, want kindMilliseconds exactly if the key ends in Ms", s.key, s.kind)
		}
	}
}

// settingsWithOnly returns settings that consist of a single key with a JSON value.
func settingsWithOnly(key, value string) string {
	path := strings.Split(key, ".")
	for _, name := range slices.Backward(path) {
		if list, isList := strings.CutSuffix(name, "[]"); isList {
			value = `{"` + list + `": [` + value + `]}`
		} else {
			value = `{"` + name + `": ` + value + `}`
		}
	}
	return value
}

// Keys are written in the table and again where a value is translated. An error must name the key in the table.
func TestErrorsOfUntranslatableValuesNameKey(t *testing.T) {
	invalidValues := map[kind]string{kindMilliseconds: "1e300", kindEnum: `"unknown"`}
	for _, s := range settingsTable() {
		value, canBeInvalid := invalidValues[s.kind]
		if !canBeInvalid {
			continue
		}
		text := []byte(settingsWithOnly(s.key, value))
		_, err := ParseSettings(text)
		if s.field == "" {
			err = (&Config{}).applyNodeSettings(text)
		}
		want := settingsKey + "." + strings.Replace(s.key, "[]", "[0]", 1)
		if got, ok := errors.AsType[*Error](err); !ok || got.Key != want {
			t.Errorf("error of the settings %s: got %v, want one with the key %s", text, err, want)
		}
	}
}

// documentedKey is a row in one of the tables of keys in docs/CONFIGURATION.md.
type documentedKey struct{ key, unit string }

// documentedKeys returns the rows of all tables in docs/CONFIGURATION.md whose first column is headed "key".
func documentedKeys(t *testing.T) []documentedKey {
	t.Helper()
	text, err := os.ReadFile("../../docs/CONFIGURATION.md")
	if err != nil {
		t.Fatal(err)
	}
	var rows []documentedKey
	header := ""
	for line := range strings.Lines(string(text)) {
		cells := strings.Split(line, "|")
		if len(cells) < 3 { // not a row of a table
			header = ""
			continue
		}
		first := strings.TrimSpace(cells[1])
		if header == "" {
			header = first
		} else if header == "key" && strings.HasPrefix(first, "`") {
			rows = append(rows, documentedKey{strings.Trim(first, "`"), strings.TrimSpace(cells[2])})
		}
	}
	return rows
}

// isSetting distinguishes the keys of the settings, which start with an upper-case letter, from the other keys of
// the configuration file.
func (r documentedKey) isSetting() bool { return strings.ToLower(r.key[:1]) != r.key[:1] }

func TestDocumentationHasEachSettingWithUnit(t *testing.T) {
	var documented, want []string
	for _, row := range documentedKeys(t) {
		if row.isSetting() {
			documented = append(documented, row.key)
			if (row.unit == "ms") != strings.HasSuffix(row.key, "Ms") {
				t.Errorf("documented unit of %s: got %q, want ms exactly if the key ends in Ms", row.key, row.unit)
			}
		}
	}
	for _, s := range settingsTable() {
		if s.kind != kindList { // instead of the list, the documentation has rows for the settings of its elements
			want = append(want, s.key)
		}
	}
	checkSameElements(t, documented, want)
}

func TestDocumentationHasEachConfigFileKey(t *testing.T) {
	var documented, want []string
	for _, row := range documentedKeys(t) {
		if !row.isSetting() {
			documented = append(documented, row.key)
		}
	}
	for key := range valueTypes(reflect.TypeFor[configFile](), "") {
		if !strings.HasPrefix(key, "known.") { // "known" has the format of the discovery service
			want = append(want, key)
		}
	}
	want = append(want, "known")
	checkSameElements(t, documented, want)
}
