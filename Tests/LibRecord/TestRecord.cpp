//===- TestRecord.cpp - Reading records: what is taken, what refused ------===//
//
// A table of records with one fault each, the sample files, and random damage.
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

const std::string GoodModel = R"({
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

std::string replaced(std::string Text, const std::string &What,
                     const std::string &By) {
  Text.replace(Text.find(What), What.size(), By);
  return Text;
}

std::string contentOf(const std::filesystem::path &Path) {
  std::ostringstream Content;
  Content << std::ifstream(Path).rdbuf();
  return Content.str();
}

} // namespace

TEST_GROUP(Record){};

TEST(Record, ReadsEveryFieldOfVersion2) {
  auto Read = parseRecord(GoodModel);
  CHECK_TRUE(Read.has_value());
  const auto &Spec = std::get<BackEnd>(Read.value().Spec);
  CHECK_EQUAL(2u, Read.value().SchemaVersion);
  STRCMP_EQUAL("lm-desk", Read.value().Name.c_str());
  STRCMP_EQUAL("roster", Spec.Models.at(0).Adapters.at(0).c_str());
  CHECK_EQUAL(6u, Spec.Roles.Mixed);
  CHECK_TRUE(Spec.Weights.Horizon == std::chrono::seconds(90));
  CHECK_EQUAL(2u, Spec.Weights.MaximumConcurrentChanges);
  CHECK_TRUE(Spec.Classes.at(ServiceClass::Immediate).DefaultDeadline ==
             std::chrono::milliseconds(250));
  CHECK_TRUE(Spec.HonoursFencing);
}

TEST(Record, NamesTheFieldOfEveryFault) {
  struct Fault {
    const char *What, *By, *Field;
  };
  const Fault Faults[] = {
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
  for (const auto &[What, By, Field] : Faults) {
    auto Read = parseRecord(replaced(GoodModel, What, By));
    CHECK_FALSE_TEXT(Read.has_value(), By);
    STRCMP_EQUAL_TEXT(Field, Read.error().Field.c_str(), By);
    CHECK_TRUE(Read.error().Code == ResultCode::RecordInvalid);
    CHECK_TEXT(!Read.error().Message.empty(), By);
  }
}

TEST(Record, GivesAHintWhenVersion1UsesAFieldOfVersion2) {
  auto Read = parseRecord(R"({"schemaVersion": 1, "kind": "workspace",
    "name": "piste", "spec": {"share": 2, "defaultClass": "immediate"}})");
  STRCMP_EQUAL("spec.defaultClass", Read.error().Field.c_str());
  STRCMP_CONTAINS("\"schemaVersion\": 2", Read.error().Message.c_str());
}

TEST(Record, NamesTheLineOfASyntaxError) {
  auto Read = parseRecord("{\n  \"schemaVersion\": 1,\n  \"kind\" \"target\"}");
  STRCMP_CONTAINS("line 3", Read.error().Message.c_str());
}

TEST(Record, RefusesNestingWithoutBound) {
  // Symptom: a process dies of stack exhaustion on one submitted text.
  // Sequence: a text of nothing but opening brackets is parsed.
  // Cause: nesting that nobody bounds.
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

TEST(Record, TakesTheSamples) {
  unsigned Versions[3] = {0, 0, 0};
  for (const auto &Entry :
       std::filesystem::recursive_directory_iterator(FIGLIFT_SAMPLES)) {
    if (Entry.path().extension() != ".json")
      continue;
    auto Read = parseRecords(contentOf(Entry.path()));
    CHECK_TRUE_TEXT(Read.has_value(), Read ? "" : Read.error().Message.c_str());
    for (const Record &Each : Read.value())
      ++Versions[Each.SchemaVersion];
  }
  CHECK_TRUE(Versions[1] > 0 && Versions[2] > 0);
}

TEST(Record, NeverCrashesOnDamageAndSaysWhatIsWrong) {
  std::mt19937_64 Random(20260);
  const std::string Bytes = "{}[]\",:/*-0123456789.eE\\ntf\n\x80\xff";
  for (int Round = 0; Round < 20000; ++Round) {
    std::string Text = GoodModel;
    for (unsigned Times = 1 + Random() % 3; Times > 0; --Times) {
      size_t Where = Random() % Text.size();
      if (Random() % 2)
        Text[Where] = Bytes[Random() % Bytes.size()];
      else
        Text.erase(Where, 1 + Random() % 8);
    }
    auto Read = parseRecords(Text);
    if (Read)
      continue;
    CHECK_TRUE(Read.error().Code == ResultCode::RecordInvalid);
    bool Names = !Read.error().Field.empty() ||
                 Read.error().Message.find("line ") != std::string::npos;
    CHECK_TEXT(Names, Read.error().Message.c_str());
  }
}
