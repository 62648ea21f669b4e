//===- TestSettings.cpp - Parsing of settings -------------------*- C++ -*-===//
//
// An invalid setting must be reported by name at the start, not hours later.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/CommandLine.h"
#include "LibSettings/Settings.h"

#include "Support/DocumentPage.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::settings;

namespace {

/// Minimal valid files; \p Additional is inserted before the last brace.
std::string entryText(const std::string &Additional = "") {
  return R"({ // an entry
    "process": {"id": "entry-1", "zone": "hall-a", "region": "blue-ridge"},
    "listen": {"callers": "127.0.0.1:8080", "peer": "127.0.0.1:8081"},
    "platform": {"address": "127.0.0.1:9000"})" +
         Additional + "}";
}

std::string agentText(const std::string &Additional = "") {
  return R"({ /* an agent */
    "process": {"id": "vm-7", "zone": "maia-a", "region": "porto"},
    "listen": {"peer": "127.0.0.1:8081", "admin": "127.0.0.1:8082"},
    "target": {"address": "127.0.0.1:7000", "type": "service",
               "backEnd": "app-logistica"},
    "platform": {"address": "127.0.0.1:9000"})" +
         Additional + "}";
}

struct InvalidFile {
  std::string Additional;
  const char *Field;
  const char *Message;
};

template <typename Settings>
void expectError(const Result<Settings> &Parsed, const char *Field,
                 const char *Message) {
  CHECK_TEXT(!Parsed, Message);
  CHECK(Parsed.error().Code == ResultCode::SettingsInvalid);
  STRCMP_EQUAL(Field, Parsed.error().Field.c_str());
  STRCMP_CONTAINS(Message, Parsed.error().Message.c_str());
}

} // namespace

TEST_GROUP(Settings){};

TEST(Settings, MissingFieldsHaveDefaults) {
  auto Entry = parseEntrySettings(entryText()).value();
  CHECK(Entry.Process.Zone == "hall-a");
  CHECK(Entry.Listen.Peer.Port == 8081);
  CHECK(Entry.Platform.PollInterval == milliseconds(1000));
  CHECK(Entry.Lease.Duration == milliseconds(3000));
  auto Agent = parseAgentSettings(agentText()).value();
  CHECK(Agent.Target.Type == TargetType::Service);
  CHECK(Agent.Drain.Timeout == milliseconds(60000));
}

TEST(Settings, ParsesEveryType) {
  auto Parsed = parseEntrySettings(entryText(R"(,
      "log": {"format": "text", "level": "debug"}, "threads": {"http": 4},
      "limits": {"requestBytes": "1MiB", "defaultDeadline": "2m"},
      "peers": ["10.0.0.1:1", "10.0.0.2:2"])"))
                    .value();
  CHECK(Parsed.Log.Format == log::Format::Text);
  CHECK(Parsed.Log.Level == log::Level::Debug);
  LONGS_EQUAL(4, Parsed.Threads.Http);
  LONGS_EQUAL(1 << 20, Parsed.Limits.RequestBytes.Bytes);
  CHECK(Parsed.Limits.DefaultDeadline == milliseconds(120000));
  CHECK(Parsed.Peers.at(1) == (Endpoint{"10.0.0.2", 2}));
}

TEST(Settings, ErrorsNameTheFieldAndTheFoundAndExpectedValues) {
  const InvalidFile Files[] = {
      {R"(,"limit": {})", "limit", "unknown key; expected one of process"},
      {R"(,"log": {"levle": "info"})", "log.levle",
       "expected one of format, level"},
      {R"(,"log": "text")", "log", "found \"text\"; expected an object"},
      {R"(,"log": {"level": "loud"})", "log.level",
       "found \"loud\"; expected \"trace\""},
      {R"(,"threads": {"http": "8"})", "threads.http",
       "found \"8\"; expected a whole number from 1 to 256"},
      {R"(,"threads": {"http": 0})", "threads.http", "found 0"},
      {R"(,"threads": {"http": -1})", "threads.http", "found -1"},
      {R"(,"threads": {"http": 1.5})", "threads.http", "found 1.5"},
      {R"(,"threads": {"http": 4294967297})", "threads.http", "from 1 to 256"},
      {R"(,"drain": {"timeout": 500})", "drain.timeout",
       "found 500; expected a duration from \"0ms\" to \"1h\""},
      {R"(,"drain": {"timeout": "2h"})", "drain.timeout", "found \"2h\""},
      {R"(,"drain": {"timeout": null})", "drain.timeout", "found null"},
      {R"(,"limits": {"requestBytes": "8MB"})", "limits.requestBytes",
       "expected a size from \"1KiB\" to \"64MiB\""},
      {R"(,"peers": ["entry-2:80"])", "peers", "a list of addresses"},
      {R"(,"lease": {"margin": "3s"})", "lease.duration",
       "found 3s; expected more than lease.margin, which is 3s"},
      {R"(,"wire": {"heartbeatTimeout": "1s"})", "wire.heartbeatTimeout",
       "more than wire.heartbeatInterval"},
  };
  for (const auto &[Additional, Field, Message] : Files)
    expectError(parseEntrySettings(entryText(Additional)), Field, Message);
  expectError(
      parseAgentSettings(agentText(R"(,"limits":{"keyTimeMargin":"1s"})")),
      "limits.keyTimeMargin", "at least limits.keyAheadMaximum");
}

TEST(Settings, DuplicateKeysAreErrors) {
  // Guards against an operator's edit without effect: of two "lease" objects in
  // a file the JSON library silently keeps one.
  expectError(parseEntrySettings(entryText(R"(,"lease": {}, "lease": {})")),
              "lease", "twice");
  expectError(parseEntrySettings(
                  entryText(R"(,"log": {"level": "info", "level": "debug"})")),
              "level", "twice");
}

TEST(Settings, SyntaxErrorsNameTheLine) {
  expectError(parseEntrySettings("{\n  \"process\": {\n  oops\n}"), "",
              "line 3");
  expectError(parseEntrySettings("[]"), "", "one object");
  expectError(parseEntrySettings(""), "", "line 1");
}

TEST(Settings, MissingRequiredFieldsAreErrors) {
  expectError(parseEntrySettings("{}"), "process.id", "found nothing");
  expectError(parseAgentSettings(entryText()), "listen.callers",
              "unknown key; expected one of peer, admin");
}

TEST(Settings, PrintedSettingsCanBeParsedAgain) {
  auto Entry = parseEntrySettings(entryText(R"(,"peers":["1.2.3.4:5"])"));
  std::string Printed = printSettings(Entry.value());
  STRCMP_CONTAINS("\"heartbeatInterval\": \"1s\"", Printed.c_str());
  STRCMP_EQUAL(Printed.c_str(),
               printSettings(parseEntrySettings(Printed).value()).c_str());
  Printed = printSettings(parseAgentSettings(agentText()).value());
  STRCMP_EQUAL(Printed.c_str(),
               printSettings(parseAgentSettings(Printed).value()).c_str());
}

TEST(Settings, PageMatchesTheTable) {
  std::string Expected = settingsPage();
  STRCMP_EQUAL(Expected.c_str(),
               test::documentPage("SETTINGS.md", Expected).c_str());
}

TEST(Settings, DurationsAndSizesAreWholeNumbersWithAUnit) {
  CHECK(parseDuration("90s").value() == milliseconds(90000));
  CHECK(parseSize("3KiB").value().Bytes == 3072);
  for (const char *Text : {"", "1", "s", "1.5s", "-1s", "1 s", "1S", "1sec",
                           "99999999999999999999s", "9223372036854775807h"})
    CHECK_TEXT(!parseDuration(Text) && !parseSize(Text), Text);
  STRCMP_EQUAL("1500ms", toString(milliseconds(1500)).c_str());
  STRCMP_EQUAL("2m", toString(milliseconds(120000)).c_str());
  STRCMP_EQUAL("0B", toString(ByteSize{0}).c_str());
}
