//===- TestStore.cpp - Tests of store encodings ---------------------------===//
//
// Rows, transactions and base64, without a network.
//
//===----------------------------------------------------------------------===//

#include "platform/RowPage.h"
#include "platform/StoreClient.h"

#include <nlohmann/json.hpp>

#include <string>

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::slopes;

TEST_GROUP(Store) { bool More = false; };

TEST(Store, EncodesAndDecodesBase64) {
  for (const std::string &Bytes :
       {std::string(), std::string("n"), std::string("no"), std::string("nod"),
        std::string("node-1"), std::string("\0\xff\x80", 3)}) {
    const auto Decoded = decodeBase64(encodeBase64(Bytes));
    CHECK(Decoded.has_value());
    CHECK(Decoded.value() == Bytes);
  }
  STRCMP_EQUAL("bm9kZS0x", encodeBase64("node-1").c_str());
  CHECK(!decodeBase64("!!!!").has_value());
}

TEST(Store, ReadsRows) {
  const auto Decoded = decodeRows(
      R"({"rows":[{"table":"my","part":"","key":"owner","value":"bm9kZS0x",
      "ver":412},{"table":"my","part":"p","key":"gone","ver":413,
      "tombstone":true}],"morePages":true,"ver":530,"nowMs":51230})",
      More);
  CHECK(Decoded.has_value());
  CHECK(More);
  LONGS_EQUAL(530, Decoded.value().Version.Number);
  STRCMP_EQUAL("node-1", Decoded.value().Rows[0].Value.c_str());
  CHECK(Decoded.value().Rows[1].Removed);
}

TEST(Store, NamesMalformedPages) {
  STRCMP_EQUAL("rows", decodeRows("{}", More).error().Field.c_str());
  STRCMP_EQUAL("rows",
               decodeRows(R"({"rows":{}})", More).error().Field.c_str());
  for (const char *Page :
       {"not json", "[]", R"({"rows":[],"ver":-1})",
        R"({"rows":[],"morePages":"no"})", R"({"rows":[],"ver":1e999})",
        R"({"rows":[1,})", R"({"rows":[}])", R"({"rows":[[)", R"({"rows":[)",
        R"(]]}{"rows":[nul])", R"("rows":[nul])"})
    CHECK_TEXT(!decodeRows(Page, More).has_value(), Page);
}

// Failure: one row that cannot be decoded makes the whole page fail, or throws,
// and no process follows the table as long as the row is there. Or it is taken
// for a row that is absent, and is created again.
TEST(Store, RefusesOddRowsOneByOne) {
  const std::string Deep =
      std::string(400'000, '[') + std::string(400'000, ']');
  struct Case {
    std::string Row;
    /// Field of the reason.
    const char *Field;
    bool HasKey;
  };
  const Case Cases[] = {
      {R"({"key":"odd","ver":6,"value":"***"})", "value", true},
      {R"({"key":"odd","ver":6,"value":"!!!!"})", "value", true},
      {R"({"key":"odd","ver":6,"value":{"a":[]}})", "rows.value", true},
      {R"({"key":"odd","ver":6,"part":5,"value":"bm8="})", "rows.part", true},
      {R"({"key":"odd","ver":6,"table":[],"value":"bm8="})", "rows.table",
       true},
      {R"({"key":"odd","ver":6,"tombstone":1})", "rows.tombstone", true},
      {R"({"key":"odd","ver":-1,"value":"bm8="})", "rows.ver", true},
      {R"({"key":"odd","ver":18446744073709551616})", "rows.ver", true},
      {R"({"key":"odd","ver":[],"part":5,"value":"*"})", "rows.ver", true},
      {R"({"key":"odd","ver":6,"value":)" + Deep + "}", "rows.value", true},
      {R"({"key":)" + Deep + R"(,"ver":6})", "rows.key", false},
      {Deep, "rows", false},
      {R"({"key":"\ud800","ver":6})", "rows", false},
      {"{\"key\":\"\xff],[\",\"ver\":6}", "rows", false},
      {R"({"key":"odd","ver":1e999,"x":["\"]"]})", "rows", false},
      {R"({"key":"odd" 6})", "rows", false},
      {R"(nul)", "rows", false},
      {R"({})", "rows.key", false},
      {R"({"key":["odd"],"value":"bm8="})", "rows.key", false},
      {R"({"key":"","value":"bm8="})", "rows.key", false},
      {R"(["odd"])", "rows", false},
      {R"(null)", "rows", false},
      {R"(5)", "rows", false}};
  for (const auto &[Text, Field, HasKey] : Cases) {
    const char *Row = Text.c_str();
    const std::string Good = R"({"key":"a","ver":5,"value":"bm9kZS0x"})";
    const auto Decoded = decodeRows(
        R"({"rows":[)" + Good + "," + Row + "," + Good + R"(],"ver":9})", More);
    CHECK_TEXT(Decoded.has_value(), Row);
    const RowsRead &Read = Decoded.value();
    LONGS_EQUAL_TEXT(1, Read.RefusedRows, Row);
    STRCMP_EQUAL_TEXT(Field, Read.FirstRefusal->Reason.Field.c_str(), Row);
    STRCMP_EQUAL_TEXT(HasKey ? "odd" : "", Read.FirstRefusal->Key.c_str(), Row);
    LONGS_EQUAL_TEXT(HasKey ? 3 : 2, Read.Rows.size(), Row);
    for (const StoreRow &Entry : Read.Rows) {
      CHECK_TEXT((Entry.Key == "odd") == Entry.Unreadable, Row);
      STRCMP_EQUAL_TEXT(Entry.Unreadable ? "" : "node-1", Entry.Value.c_str(),
                        Row);
      CHECK_TEXT(!Entry.Removed && Entry.Version.Number > 0, Row);
    }
    // A version that cannot be read is one that the row can have.
    if (HasKey)
      LONGS_EQUAL_TEXT(std::string(Field) == "rows.ver" ? 9 : 6,
                       Read.Rows[1].Version.Number, Row);
  }
}

TEST(Store, WritesTransactions) {
  RowTransaction Transaction;
  Transaction.Conditions.push_back({"t", "", "k", 7});
  Transaction.Writes.push_back({"t", "", "k", "node-1"});
  const auto Body = nlohmann::json::parse(encodeTransaction(Transaction));
  LONGS_EQUAL(7, Body["expected"][0]["ver"].get<int>());
  STRCMP_EQUAL("bm9kZS0x",
               Body["setKeys"][0]["value"].get<std::string>().c_str());
  CHECK(Body["remove"].empty());
}
