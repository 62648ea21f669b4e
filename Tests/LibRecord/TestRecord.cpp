//===- TestRecord.cpp - Accepted and rejected records ---------------------===//
//
// Records with one error each, the sample files, and randomly damaged records.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/Record.h"
#include "LibRecord/RecordText.h"

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::record;

namespace {

const std::string ValidModel = R"({
  // front desk
  "schemaVersion": 2, "kind": "backEnd", "name": "lm-desk",
  "spec": {
    "type": "model",
    "models": [{"name": "match", "version": "1", "adapters": ["roster"]}],
    "roles": {"prefill": 2, "decode": 1, "mixed": 6},
    "weights": {"goodput": 3, "roleChangeCost": 0.5, "horizon": "90s",
                "maximumConcurrentChanges": 2},
    "classes": {"immediate": {"maximumQueuedTokens": 100,
                              "defaultDeadline": "250ms"}},
    "honoursFencing": true
  }
})";

std::string replaceFirst(std::string Text, const std::string &Old,
                         const std::string &New) {
  Text.replace(Text.find(Old), Old.size(), New);
  return Text;
}

std::string readFile(const std::filesystem::path &Path) {
  std::ostringstream Content;
  Content << std::ifstream(Path).rdbuf();
  return Content.str();
}

} // namespace

TEST_GROUP(Record){};

TEST(Record, ReadsEveryFieldOfVersion2) {
  auto Parsed = parseRecord(ValidModel);
  CHECK_TRUE(Parsed.has_value());
  const auto &Spec = std::get<BackEnd>(Parsed.value().Spec);
  CHECK_EQUAL(2u, Parsed.value().SchemaVersion);
  STRCMP_EQUAL("lm-desk", Parsed.value().Name.c_str());
  STRCMP_EQUAL("roster", Spec.Models.at(0).Adapters.at(0).c_str());
  CHECK_EQUAL(6u, Spec.Roles.Mixed);
  CHECK_TRUE(Spec.Weights.Horizon == std::chrono::seconds(90));
  CHECK_EQUAL(2u, Spec.Weights.MaximumConcurrentChanges);
  CHECK_TRUE(Spec.Classes.at(ServiceClass::Immediate).DefaultDeadline ==
             std::chrono::milliseconds(250));
  CHECK_TRUE(Spec.HonoursFencing);
}

TEST(Record, NamesTheFieldOfEveryError) {
  struct Case {
    const char *Old, *New, *Field;
  };
  const Case Cases[] = {
      {"\"schemaVersion\": 2", "\"schemaVersion\": 3", "schemaVersion"},
      {"\"schemaVersion\": 2, ", "", "schemaVersion"},
      {"\"schemaVersion\": 2", "\"schemaVersion\": 1", "spec.weights"},
      {"backEnd", "backend", "kind"},
      {"lm-desk", "lm/desk", "name"},
      {"\"model\"", "\"modell\"", "spec.type"},
      {"\"model\"", "\"service\"", "spec.models"},
      {"\"version\": \"1\"", "\"version\": 1", "spec.models[0].version"},
      {"\"prefill\": 2", "\"prefill\": -2", "spec.roles.prefill"},
      {"\"prefill\": 2", "\"prefill\": 2.5", "spec.roles.prefill"},
      {"\"prefill\": 2", "\"prefil\": 2", "spec.roles.prefil"},
      {"\"goodput\": 3", "\"goodput\": -3", "spec.weights.goodput"},
      {"\"90s\"", "90", "spec.weights.horizon"},
      {"\"250ms\"", "\"250 ms\"", "spec.classes.immediate.defaultDeadline"},
      {"\"immediate\"", "\"urgent\"", "spec.classes.urgent"},
      {"true", "1", "spec.honoursFencing"},
      {"\"honoursFencing\"", "\"roles\": {}, \"honoursFencing\"", "roles"},
      {"2, \"decode\": 1, \"mixed\": 6", "2", "spec.roles.decode"},
      {"2, \"decode\": 1, \"mixed\": 6", "0, \"decode\": 3",
       "spec.roles.prefill"},
  };
  for (const auto &[Old, New, Field] : Cases) {
    auto Parsed = parseRecord(replaceFirst(ValidModel, Old, New));
    CHECK_FALSE_TEXT(Parsed.has_value(), New);
    STRCMP_EQUAL_TEXT(Field, Parsed.error().Field.c_str(), New);
    CHECK_TRUE(Parsed.error().Code == ResultCode::RecordInvalid);
    CHECK_TEXT(!Parsed.error().Message.empty(), New);
  }
}

TEST(Record, GivesAHintWhenVersion1UsesAFieldOfVersion2) {
  auto Parsed = parseRecord(R"({"schemaVersion": 1, "kind": "workspace",
    "name": "piste", "spec": {"share": 2, "defaultClass": "immediate"}})");
  STRCMP_EQUAL("spec.defaultClass", Parsed.error().Field.c_str());
  STRCMP_CONTAINS("\"schemaVersion\": 2", Parsed.error().Message.c_str());
}

TEST(Record, NamesTheLineOfASyntaxError) {
  auto Parsed =
      parseRecord("{\n  \"schemaVersion\": 1,\n  \"kind\" \"target\"}");
  STRCMP_CONTAINS("line 3", Parsed.error().Message.c_str());
}

TEST(Record, RejectsExcessiveNesting) {
  // Guards against a stack overflow caused by a submitted text of opening
  // brackets only: the parser must limit the nesting depth.
  CHECK_FALSE(parseRecord(std::string(500000, '[')).has_value());
  auto Deep = std::string(1000, '[') + std::string(1000, ']');
  CHECK_FALSE(parseRecord(Deep).has_value());
}

TEST(Record, KeepsTheTextOfEachRecordOfAFileUnchanged) {
  std::string First = R"(/* a, ] */ {"name": "x ] , \" //"} )";
  std::string Second = "// b\n{\"k\": [1, {\"l\": []}]}\n";
  auto Texts = splitRecords("// file\n[\n  " + First + ",\n" + Second + "]\n");
  CHECK_TRUE(Texts.has_value());
  CHECK_EQUAL(2u, Texts.value().size());
  STRCMP_EQUAL(First.c_str(), Texts.value()[0].Text.c_str());
  STRCMP_EQUAL(Second.c_str(), Texts.value()[1].Text.c_str());
  CHECK_EQUAL(3u, Texts.value()[0].FirstLine);
  CHECK_EQUAL(4u, Texts.value()[1].FirstLine);
}

TEST(Record, AcceptsTheSamples) {
  unsigned Versions[3] = {0, 0, 0};
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(FIGLIFT_SAMPLES)) {
    if (Entry.path().extension() != ".json")
      continue;
    auto Parsed = parseRecords(readFile(Entry.path()));
    CHECK_TRUE_TEXT(Parsed.has_value(),
                    Parsed ? "" : Parsed.error().Message.c_str());
    for (const Record &Sample : Parsed.value())
      ++Versions[Sample.SchemaVersion];
  }
  CHECK_TRUE(Versions[1] > 0 && Versions[2] > 0);
}

TEST(Record, NeverCrashesOnDamageAndNamesTheError) {
  std::mt19937_64 Random(20260);
  const std::string Bytes = "{}[]\",:/*-0123456789.eE\\ntf\n\x80\xff";
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = ValidModel;
    for (unsigned Times = 1 + Random() % 3; Times > 0; --Times) {
      size_t Position = Random() % Text.size();
      if (Random() % 2)
        Text[Position] = Bytes[Random() % Bytes.size()];
      else
        Text.erase(Position, 1 + Random() % 8);
    }
    auto Parsed = parseRecords(Text);
    if (Parsed)
      continue;
    CHECK_TRUE(Parsed.error().Code == ResultCode::RecordInvalid);
    bool NamesLocation =
        !Parsed.error().Field.empty() ||
        Parsed.error().Message.find("line ") != std::string::npos;
    CHECK_TEXT(NamesLocation, Parsed.error().Message.c_str());
  }
}
