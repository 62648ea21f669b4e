//===- TestLog.cpp - Lines of the structured log ----------------*- C++ -*-===//
//
// The format of lines; an event is always exactly one line.
//
//===----------------------------------------------------------------------===//

#include "LibLog/Log.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::log;

namespace {

/// The log creates its sink once per process. Within a test, that would be
/// reported as a leak of the test.
[[maybe_unused]] const bool SinkCreated = (configure({}), true);

} // namespace

TEST_GROUP(Log) {
  std::vector<std::string> Lines;

  void configureFormat(Format OutputFormat, Level Threshold) {
    configure({OutputFormat, Threshold, "entry-1",
               [this](std::string_view Line) { Lines.emplace_back(Line); }});
  }
  void teardown() override {
    configure({});
    std::vector<std::string>().swap(Lines);
  }
};

TEST(Log, JsonLinesKeepTheTypesOfFields) {
  configureFormat(Format::Json, Level::Info);
  logRequest(Level::Warning, "attempt-ended", "r1", "a1",
             {{"text", "x\"y"},
              {"count", 3u},
              {"delta", -4},
              {"share", 0.5},
              {"flag", true},
              {"took", std::chrono::microseconds(1500)}});
  auto Line = nlohmann::json::parse(Lines.at(0));
  CHECK(Line["level"] == "warning" && Line["event"] == "attempt-ended");
  CHECK(Line["process"] == "entry-1");
  CHECK(Line["request"] == "r1" && Line["attempt"] == "a1");
  CHECK(Line["text"] == "x\"y" && Line["count"] == 3 && Line["delta"] == -4);
  CHECK(Line["share"] == 0.5 && Line["flag"] == true && Line["took"] == 1.5);
  LONGS_EQUAL(24, Line["time"].get<std::string>().size());
}

TEST(Log, EventIsOneLineWhateverItsFieldsContain) {
  // Guards against forged lines and crashes in a log call when a peer sends a
  // name with a line break or invalid UTF-8 and the text is not escaped.
  for (Format OutputFormat : {Format::Json, Format::Text}) {
    configureFormat(OutputFormat, Level::Info);
    logEvent(Level::Info, "peer-up", {{"name", "a\nforged \xff\xfe"}});
    CHECK(Lines.back().find('\n') == std::string::npos);
    STRCMP_CONTAINS("forged", Lines.back().c_str());
  }
}

TEST(Log, TextLinesAreReadable) {
  configureFormat(Format::Text, Level::Info);
  logError(Level::Error, "start-failed",
           {ResultCode::SettingsInvalid, "found 3", "log.level", {}});
  STRCMP_CONTAINS(" error entry-1 start-failed code=701 message=\"found 3\" "
                  "field=\"log.level\"",
                  Lines.at(0).c_str());
}

TEST(Log, WritesNothingBelowTheThreshold) {
  configureFormat(Format::Json, Level::Warning);
  logEvent(Level::Info, "peer-up");
  logEvent(Level::Debug, "peer-up");
  configureFormat(Format::Json, Level::Off);
  logEvent(Level::Error, "peer-up");
  CHECK(Lines.empty());
}

TEST(Log, LevelsAreParsedByName) {
  for (const char *Name : {"trace", "debug", "info", "warning", "error", "off"})
    CHECK(toString(parseLevel(Name).value()) == Name);
  CHECK(!parseLevel("INFO") && !parseLevel("") && !parseFormat("xml"));
}
