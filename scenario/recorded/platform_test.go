package recorded_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"trefoilline.example/trefoilline/internal/host"
	"trefoilline.example/trefoilline/objectstore"
	"trefoilline.example/trefoilline/platform"
	"trefoilline.example/trefoilline/platform/standin"
)

// zones are the regions of the recorded zones.
var zones = map[string]string{
	"accra-a":  "accra",
	"kumasi-a": "kumasi",
}

// readPlatform puts an object into the platform's store and reads it as a host
// does.
func readPlatform(t *testing.T, kind, name string, spec json.RawMessage) objectstore.Object {
	t.Helper()
	store := &standin.Store{}
	store.Put(kind, name, spec)
	address := listen(t, store)
	objects := &platform.StoreClient{
		Address: func() netip.AddrPort { return address },
	}
	object, err := objects.Get(t.Context(), kind+"/"+name)
	require.NoError(t, err)
	return object
}

// TestConfigurationIsDecodedAsRecorded decodes a configuration that has every
// field of the platform's set, and compares the encoded result.
func TestConfigurationIsDecodedAsRecorded(t *testing.T) {
	object := readPlatform(t, "config", "main", recorded(t, "platform/configuration.json"))
	require.Equal(t, platform.ConfigurationKey, object.Key)
	configuration, err := platform.DecodeConfiguration(object)
	require.NoError(t, err)
	decoded, err := json.Marshal(configuration)
	require.NoError(t, err)
	requireRecorded(t, "platform/configuration.decoded.json", decoded)
}

// TestServersAreDecodedAsRecorded decodes entries of backend servers.
func TestServersAreDecodedAsRecorded(t *testing.T) {
	var decoded []byte
	for _, entry := range recordedLines(t, "platform/servers") {
		machine, err := platform.DecodeServer(readPlatform(t, "servers", "i-1", entry), zones)
		require.NoError(t, err)
		encoded, err := json.Marshal(machine)
		require.NoError(t, err)
		decoded = append(append(decoded, encoded...), '\n')
	}
	requireRecorded(t, "platform/servers.decoded", decoded)
}

// TestStatusOfServerIsDecodedAsRecorded decodes an entry whose status is kept
// apart from what the server stated.
func TestStatusOfServerIsDecodedAsRecorded(t *testing.T) {
	machine, err := platform.DecodeServer(objectstore.Object{
		Key:    "servers/i-1",
		Value:  recordedLines(t, "platform/servers")[0],
		Status: recorded(t, "platform/server-status.json"),
	}, zones)
	require.NoError(t, err)
	require.Equal(t, objectstore.Draining, machine.State)
	require.Equal(t, 2500*time.Millisecond, machine.WarmUp)
}

// TestEvacuationIsDecodedAsRecorded reads the zone that an object names.
func TestEvacuationIsDecodedAsRecorded(t *testing.T) {
	object := readPlatform(t, "evacuations", "kumasi-a", json.RawMessage(`{}`))
	require.Equal(t, "evacuations/kumasi-a", object.Key)
	require.Equal(t, "kumasi-a", platform.EvacuatedZone(object))
}

// TestLookUpIsAnsweredAsRecorded asks a host for entry addresses.
func TestLookUpIsAnsweredAsRecorded(t *testing.T) {
	var asked platform.LookUpRequest
	handler := platform.LookUpHandler(func(question platform.LookUpRequest) ([]netip.AddrPort, time.Duration) {
		asked = question
		return []netip.AddrPort{
			netip.MustParseAddrPort("10.0.0.1:8000"),
			netip.MustParseAddrPort("10.0.0.2:8000"),
		}, 2500 * time.Millisecond
	})
	answer := httptest.NewRecorder()
	handler.ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/trefoilline/resolve?Name=shop.example&Region=accra&Zone=accra-a", nil))
	require.Equal(t, http.StatusOK, answer.Code)
	require.Equal(t, platform.LookUpRequest{
		Host:   "shop.example",
		Region: "accra",
		Zone:   "accra-a",
	}, asked)
	requireRecorded(t, "platform/look-up.json", answer.Body.Bytes())
}

// TestSettingsFileIsReadAsRecorded reads the deployment's settings file as the
// platform fills it in, and compares the encoded result.
func TestSettingsFileIsReadAsRecorded(t *testing.T) {
	file := &host.SettingsFile{
		Path: "testdata/platform/settings.json",
	}
	settings, err := file.Read()
	require.NoError(t, err)
	encoded, err := json.MarshalIndent(settings, "", "  ")
	require.NoError(t, err)
	requireRecorded(t, "platform/settings.decoded.json", encoded)
}

// TestSettingsFileHasFieldsOfDeployment holds the recorded settings file against
// the one that the platform fills in: both have the same fields in the same order.
func TestSettingsFileHasFieldsOfDeployment(t *testing.T) {
	template, err := os.ReadFile("../../deploy/settings.json")
	require.NoError(t, err)
	field := regexp.MustCompile(`(?m)^  "[a-z-]+":`)
	fields := field.FindAllString(string(template), -1)
	require.NotEmpty(t, fields)
	require.Equal(t, field.FindAllString(string(recorded(t, "platform/settings.json")), -1), fields)
}
