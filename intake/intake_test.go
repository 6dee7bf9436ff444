package intake_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"lynxwell.dev/lynxwell/intake"
	"lynxwell.dev/lynxwell/store"
)

// newTestIntake returns an intake of the families before the first slash, whose values are usable if they begin with v.
func newTestIntake() *intake.Intake {
	return intake.New(intake.Rules{
		Family: func(key string) string {
			family, _, found := strings.Cut(key, "/")
			if !found {
				return ""
			}
			return family
		},
		IsUsable: func(val store.Value) bool { return strings.HasPrefix(string(val.Data), "v") },
	})
}

func value(key string, number int, data string) store.Value {
	return store.Value{Key: fmt.Sprintf("%s/%06d", key, number), Data: []byte(data)}
}

// Guards against hosts whose memory grows with what other programs write, and against usable values that find no room
// because of others.
func TestUnusableValuesLeaveRoomForUsableOnes(t *testing.T) {
	for name, data := range map[string]string{"many": "x", "large": strings.Repeat("x", 10_000)} {
		t.Run(name, func(t *testing.T) {
			itk := newTestIntake()
			kept, full, bytes := 0, 0, 0
			for number := range 20_000 {
				if val, found := itk.Admit(value("e", number, data)); found {
					kept++
					full += min(1, len(val.Data))
					bytes += len(val.Data)
				}
			}
			assert.Assert(t, kept == intake.MaxUncheckedKeys && bytes <= intake.MaxBytes/4, "%d, %d bytes", kept, bytes)
			assert.Equal(t, itk.LeftOut(), 20_000-full)
			for number := range 3000 {
				_, found := itk.Admit(value("e", 100_000+number, "valid"))
				assert.Assert(t, found)
			}
		})
	}
}

// Guards against more than the room of a family, whatever its values are.
func TestFamiliesHaveBounds(t *testing.T) {
	for name, data := range map[string]string{"many": "v", "large": strings.Repeat("v", 10_000)} {
		t.Run(name, func(t *testing.T) {
			itk := newTestIntake()
			kept, bytes := 0, 0
			for number := range 20_000 {
				if val, found := itk.Admit(value("e", number, data)); found {
					kept++
					bytes += len(val.Data)
				}
			}
			assert.Assert(t, kept <= intake.MaxKeys && bytes <= intake.MaxBytes, "%d, %d bytes", kept, bytes)
			_, found := itk.Admit(value("other", 0, data))
			assert.Assert(t, found)
			_, found = itk.Admit(store.Value{Key: "single", Data: make([]byte, 2*intake.MaxBytes)})
			assert.Assert(t, found)
		})
	}
}

// Guards against a former value that stays in use after a new one found no room.
func TestKnownKeyWithoutRoomLosesItsData(t *testing.T) {
	itk := newTestIntake()
	_, found := itk.Admit(value("e", 0, "valid"))
	assert.Assert(t, found)
	val, found := itk.Admit(value("e", 0, strings.Repeat("v", intake.MaxBytes+1)))
	assert.Assert(t, found)
	assert.Equal(t, len(val.Data), 0)
}

// Guards against values that stay left out, or are read over and over, once keys were removed.
func TestRoomIsReportedOnceAfterRemovals(t *testing.T) {
	itk := newTestIntake()
	for number := range intake.MaxKeys + 1 {
		itk.Admit(value("e", number, "v"))
	}
	assert.Assert(t, !itk.TakeRoom())
	for number := range intake.MaxKeys / 2 {
		itk.Remove(value("e", number, "").Key)
	}
	assert.Assert(t, itk.TakeRoom())
	assert.Assert(t, !itk.TakeRoom())
}
