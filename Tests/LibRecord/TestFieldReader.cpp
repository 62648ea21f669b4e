//===- TestFieldReader.cpp - Tests of quoted values -----------------------===//
//
// The values that error messages quote, however deep or large they are.
//
//===----------------------------------------------------------------------===//

#include "LibRecord/FieldReader.h"

#include <chrono>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using Json = nlohmann::json;

TEST_GROUP(FieldReader){static std::string errorOf(const Json &Value){
    const Json Object = {{"field", Value}};
record::FieldReader Reader(Object, "", 2);
bool Output = false;
Reader.read("field", Output);
return Reader.error()->Message;
}
}
;

TEST(FieldReader, QuotesTheStartOfTheValue) {
  STRCMP_EQUAL(
      "found {\"a\":[1,-2.5,null,\"\\u00e9\"],\"b\":{}}; expected true "
      "or false",
      errorOf(Json::parse(R"({"a":[1,-2.5,null,"é"],"b":{}})")).c_str());
  STRCMP_EQUAL("found \"\\ufffd\"; expected true or false",
               errorOf("\xff").c_str());
  STRCMP_EQUAL(
      ("found \"" + std::string(59, 'x') + "...; expected true or false")
          .c_str(),
      errorOf(std::string(61, 'x')).c_str());
  // The same start as that of the whole text, also where the text is cut within
  // a character.
  for (const char *Character : {"é", "€", "😀"})
    for (size_t Before = 0; Before < 64; ++Before) {
      Json Value = std::string(Before, 'x');
      for (int Count = 0; Count < 40; ++Count)
        Value = Value.get<std::string>() + Character;
      STRCMP_EQUAL(("found " + Value.dump(-1, ' ', true).substr(0, 60) +
                    "...; expected true or false")
                       .c_str(),
                   errorOf(Value).c_str());
    }
}

// Failure: the message prints the whole value to show its first bytes. A deeply
// nested value ends the process by a stack overflow, a large one costs as much
// time and memory as its sender likes.
TEST(FieldReader, QuotesDeepAndLargeValuesWithBoundedWork) {
  Json Deep = 1;
  for (int Level = 0; Level < 100'000; ++Level) {
    Json Outer = Json::array();
    Outer.push_back(std::move(Deep));
    Deep = std::move(Outer);
  }
  Json Object = Json::object();
  Object["field"] = std::move(Deep);
  record::FieldReader Reader(Object, "", 2);
  bool Output = false;
  Reader.read("field", Output);
  STRCMP_EQUAL(
      ("found " + std::string(60, '[') + "...; expected true or false").c_str(),
      Reader.error()->Message.c_str());

  Object["field"] = std::string(8 << 20, '\x01');
  const auto Start = std::chrono::steady_clock::now();
  constexpr int Repetitions = 200;
  for (int Count = 0; Count < Repetitions; ++Count) {
    record::FieldReader Again(Object, "", 2);
    Again.read("field", Output);
    CHECK(Again.error()->Message.size() < 100);
  }
  // Printing all of it takes over ten milliseconds each time.
  CHECK(std::chrono::steady_clock::now() - Start <
        std::chrono::milliseconds(Repetitions));
}
