//===- TestCommandLine.cpp - Command line of the services -------*- C++ -*-===//
//
// Results of valid and invalid command lines.
//
//===----------------------------------------------------------------------===//

#include "LibSettings/CommandLine.h"

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::settings;

namespace {

constexpr const char *ValidFile = R"({
  "process": {"id": "e", "zone": "z", "region": "r"},
  "listen": {"callers": "127.0.0.1:0", "peer": "127.0.0.1:0"},
  "platform": {"address": "127.0.0.1:1"}})";

Result<Startup<EntrySettings>> start(std::vector<const char *> Arguments) {
  Arguments.insert(Arguments.begin(), "figlift-entry");
  return readEntryCommandLine(static_cast<int>(Arguments.size()),
                              Arguments.data());
}

} // namespace

TEST_GROUP(CommandLine) {
  std::string Name;

  void setup() override {
    char Template[] = "/tmp/figlift-settings-XXXXXX";
    close(mkstemp(Template));
    Name = Template;
    std::ofstream(Name) << ValidFile;
  }
  void teardown() override {
    std::remove(Name.c_str());
    std::string().swap(Name);
  }
  std::string outputOf(std::vector<const char *> Arguments) {
    auto Parsed = start(std::move(Arguments));
    CHECK(Parsed.has_value());
    auto &Exit = std::get<ExitRequest>(Parsed.value());
    LONGS_EQUAL(0, Exit.Status);
    return Exit.Output;
  }
};

TEST(CommandLine, ReturnsSettings) {
  auto Parsed = start({"--settings", Name.c_str()});
  CHECK(std::get<EntrySettings>(Parsed.value()).Process.Id == "e");
}

TEST(CommandLine, PrintsAndExits) {
  STRCMP_CONTAINS("--check-config", outputOf({"--help"}).c_str());
  STRCMP_CONTAINS("figlift-entry 0.", outputOf({"--version"}).c_str());
  STRCMP_CONTAINS(
      "valid",
      outputOf({"--settings", Name.c_str(), "--check-config"}).c_str());
  STRCMP_CONTAINS(
      "\"isolationBound\": \"5s\"",
      outputOf({"--settings", Name.c_str(), "--print-config"}).c_str());
}

TEST(CommandLine, RejectsInvalidArguments) {
  for (const auto &Arguments : std::vector<std::vector<const char *>>{
           {},
           {"--settings"},
           {"--settings", "/nonexistent/file"},
           {"--settings", "/"},
           {"--setting", Name.c_str()},
           {"--settings", Name.c_str(), "extra"}}) {
    auto Parsed = start(Arguments);
    CHECK(!Parsed);
    CHECK(Parsed.error().Code == ResultCode::SettingsInvalid);
    CHECK(!Parsed.error().Message.empty());
  }
}
