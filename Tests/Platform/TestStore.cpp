//===- TestStore.cpp - Tests of store encodings ---------------------------===//
//
// Rows, transactions and base64, without a network.
//
//===----------------------------------------------------------------------===//

#include "platform/StoreClient.h"

#include <nlohmann/json.hpp>

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

TEST(Store, NamesMalformedRows) {
  STRCMP_EQUAL("rows", decodeRows("{}", More).error().Field.c_str());
  STRCMP_EQUAL("rows.key",
               decodeRows(R"({"rows":[{}]})", More).error().Field.c_str());
  STRCMP_EQUAL("value",
               decodeRows(R"({"rows":[{"key":"k","value":"!!!!"}]})", More)
                   .error()
                   .Field.c_str());
  CHECK(!decodeRows("not json", More).has_value());
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
