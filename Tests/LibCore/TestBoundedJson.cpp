//===- TestBoundedJson.cpp - Tests of messages of other writers -----------===//
//
// Nesting at and beyond the limit, and malformed bytes, in JSON and CBOR.
//
//===----------------------------------------------------------------------===//

#include "LibCore/BoundedJson.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using Json = nlohmann::json;

TEST_GROUP(BoundedJson){static std::string nested(size_t Depth){
    return std::string(Depth, '[') + std::string(Depth, ']');
}
static std::string cbor(const Json &Value) {
  std::string Bytes;
  Json::to_cbor(Value, Bytes);
  return Bytes;
}
}
;

TEST(BoundedJson, ReadsEveryKindOfValue) {
  const Json Value = Json::parse(
      R"({"a":[1,-2,0.5,true,null,"\u00e9",{},[]],"b":{"c":[[{"d":1}]]}})");
  CHECK(parseMessage(Value.dump()).value() == Value);
  Json WithBytes = Value;
  WithBytes["e"] = Json::binary({1, 2, 3});
  CHECK(parseCborMessage(cbor(WithBytes)).value() == WithBytes);
}

// Failure: a number that nobody has sent counts, as get() converts it without
// an error.
TEST(BoundedJson, ReadsOnlyWholeNumbersInRange) {
  LONGS_EQUAL(65535, wholeNumber<uint16_t>(65535));
  LONGS_EQUAL(-3, wholeNumber<int64_t>(-3));
  CHECK(wholeNumber<uint64_t>(UINT64_MAX) == UINT64_MAX);
  LONGS_EQUAL(5, wholeNumber<int>(5, 1, 5));
  for (const Json &Odd : {Json(1.0), Json(true), Json("1"), Json(nullptr),
                          Json(-1), Json(65536), Json(UINT64_MAX)})
    CHECK_THROWS(Json::exception, wholeNumber<uint16_t>(Odd));
  for (const Json &Odd : {Json(UINT64_MAX), Json(1e300)})
    CHECK_THROWS(Json::exception, wholeNumber<int64_t>(Odd));
  for (const Json &Odd : {Json(0), Json(6)})
    CHECK_THROWS(Json::exception, wholeNumber<int>(Odd, 1, 5));
}

// Failure: a sender decides how deep this process recurses, and the process
// ends by a stack overflow when it copies, prints or reads the value.
TEST(BoundedJson, RejectsDeepNestingInEveryPosition) {
  CHECK(parseMessage(nested(MaximumMessageDepth)).has_value());
  CHECK(parseCborMessage(cbor(Json::parse(nested(MaximumMessageDepth))))
            .has_value());
  for (const size_t Depth : {MaximumMessageDepth + 1, size_t{400'000}}) {
    const std::string Deep = nested(Depth);
    for (const std::string &Text :
         {Deep, std::string(Depth, '['), "[1," + Deep + "]",
          R"({"a":)" + Deep + "}", R"({"a":1,"b":[{"c":)" + Deep + "}]}"})
      STRCMP_CONTAINS("levels deep",
                      parseMessage(Text).error().Message.c_str());
    // Arrays of one element; objects of one member; arrays of unknown length.
    std::string Objects;
    for (size_t Level = 0; Level < Depth; ++Level)
      Objects += "\xa1\x61k";
    for (const std::string &Bytes :
         {std::string(Depth, '\x81') + '\x01', Objects + '\x01',
          std::string(Depth, '\x9f'), '\x82' + std::string(Depth, '\x81')})
      STRCMP_CONTAINS("levels deep",
                      parseCborMessage(Bytes).error().Message.c_str());
  }
}

// Failure: one of many messages hides the others, as it is nested too deep.
TEST(BoundedJson, DropsDeepPartsOnRequest) {
  for (const size_t Depth : {size_t{1}, size_t{2}, size_t{400'000}}) {
    const std::string Kept(MaximumMessageDepth - 2, '[');
    const std::string Closing(MaximumMessageDepth - 2, ']');
    const std::string Deep = R"({"x":)" + nested(Depth) + R"(,"y":{"z":2}})";
    const auto Value =
        parseMessage("[" + Kept + "[" + Deep + ",3]" + Closing + R"(,{"a":1}])",
                     DeepParts::Dropped);
    CHECK(Value.has_value());
    CHECK(Value.value() ==
          Json::parse("[" + Kept + "[null,3]" + Closing + R"(,{"a":1}])"));
  }
  CHECK(
      !parseMessage(std::string(400'000, '['), DeepParts::Dropped).has_value());
}

// Failure: the parts of a string of unknown length are strings of unknown
// length again, which the parser reads recursively without an event.
TEST(BoundedJson, RejectsStringsOfIndefiniteLength) {
  for (const char Head : {'\x5f', '\x7f'}) {
    CHECK(!parseCborMessage(std::string(400'000, Head)).has_value());
    CHECK(!parseCborMessage("\x82\x61" + std::string("k") +
                            std::string(400'000, Head))
               .has_value());
  }
  // The same bytes within a string are text.
  CHECK(parseCborMessage(cbor(Json::binary({0x5f, 0x7f}))).has_value());
}

// Failure: malformed bytes throw out of the decoder, and nothing catches.
TEST(BoundedJson, RejectsMalformedBytesWithoutThrowing) {
  for (const char *Text :
       {"", " ", "{", "[1,]", "[1e999]", "nul", "\"\xff\xfe\"",
        "\"\xed\xa0\x80\"", "\"\\ud800\"", "[] []", "{\"a\" 1}", "'a'", "\x01"})
    CHECK_TEXT(!parseMessage(Text).has_value(), Text);
  const std::string Whole = cbor(Json::array({1, "abc", Json::object()}));
  for (size_t Size = 0; Size < Whole.size(); ++Size)
    CHECK(!parseCborMessage(Whole.substr(0, Size)).has_value());
  CHECK(!parseCborMessage(Whole + '\x01').has_value());
  // Lengths far beyond the bytes that follow.
  for (const char Head : {'\x5b', '\x7b', '\x9b', '\xbb'})
    CHECK(!parseCborMessage(Head + std::string(8, '\xff')).has_value());
  // Tags and reserved values.
  for (const char *Bytes :
       {"\xc1\x01", "\xd8\x20\x61k", "\x1c", "\xfc", "\xff"})
    CHECK(!parseCborMessage(Bytes).has_value());
}

TEST(BoundedJson, KeepsTheLastOfTwoMembersAndWideNumbers) {
  const Json Value =
      parseMessage(R"({"a":{"b":1},"a":2,"n":18446744073709551615,
                       "w":18446744073709551616,"m":-1})")
          .value();
  CHECK(Value["a"] == 2);
  CHECK(Value["n"].is_number_unsigned() && Value["n"] == UINT64_MAX);
  CHECK(Value["w"].is_number_float());
  CHECK(Value["m"] == -1);
}
