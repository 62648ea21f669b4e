//===- TestStandInStores.cpp - Table and prefix cache of the stand-ins ----===//
//
// Other suites judge figlift by what these stores say, so a few checks keep
// the stores honest.
//
//===----------------------------------------------------------------------===//

#include "PrefixCache.h"
#include "TableStore.h"

#include <CppUTest/TestHarness.h>

using namespace figlift::standin;

namespace {

Json write(const char *Key, const char *Value) {
  return {{"key", Key}, {"value", Value}};
}

Json condition(const char *Key, uint64_t Version) {
  return {{"key", Key}, {"version", Version}};
}

uint64_t versionOf(const TableStore &Table, const char *Key) {
  return Table.read(Key).at("version").get<uint64_t>();
}

} // namespace

TEST_GROUP(TableStore) { TableStore m_Table; };

TEST(TableStore, FailedConditionWritesNothing) {
  // Symptom: two planners both believe that they hold a lease. Sequence: both
  // read version 0 and both commit. Cause: a commit that writes part of its
  // rows although a condition failed.
  const Json First = {{"conditions", {condition("lease", 0)}},
                      {"writes", {write("lease", "one")}}};
  const Json Second = {
      {"conditions", {condition("other", 0), condition("lease", 0)}},
      {"writes", {write("other", "two"), write("lease", "two")}}};
  CHECK_FALSE(m_Table.commit(First).has_value());
  STRCMP_EQUAL("lease", m_Table.commit(Second).value_or("").c_str());
  CHECK_EQUAL(0, versionOf(m_Table, "other"));
  CHECK_EQUAL(1, versionOf(m_Table, "lease"));
}

TEST(TableStore, ConditionOnAnEarlierLifeOfARowNeverHoldsAgain) {
  // Symptom: a paused writer overwrites a row that was made anew. Sequence: it
  // reads version 1, the row is removed and written again, it commits. Cause:
  // versions that begin anew after a removal.
  m_Table.commit({{"writes", {write("row", "first")}}});
  m_Table.commit({{"writes", {{{"key", "row"}, {"delete", true}}}}});
  CHECK_EQUAL(0, versionOf(m_Table, "row"));
  m_Table.commit({{"writes", {write("row", "second")}}});
  const Json Late = {{"conditions", {condition("row", 1)}},
                     {"writes", {write("row", "late")}}};
  CHECK(m_Table.commit(Late).has_value());
}

TEST(TableStore, RangeGivesRowsOfThePrefixAfterAKey) {
  for (const char *Key : {"a/1", "a/2", "a/3", "b/1"})
    m_Table.commit({{"writes", {write(Key, "x")}}});
  const Json Rows = m_Table.range("a/", "a/1", 10);
  CHECK_EQUAL(2, Rows.size());
  STRCMP_EQUAL("a/2", Rows[0].at("key").get<std::string>().c_str());
  CHECK_EQUAL(1, m_Table.range("a/", "", 1).size());
}

TEST_GROUP(PrefixCache) { PrefixCache m_Cache; };

TEST(PrefixCache, PromptsWithACommonBeginningShareItsBlocks) {
  const std::string Roster(2048, 'r');
  const auto One = hashBlocks(Roster + std::string(1024, 'a'), 768);
  const auto Other = hashBlocks(Roster + std::string(1024, 'b'), 768);
  for (const uint64_t Hash : One)
    m_Cache.store(Hash);
  CHECK_EQUAL(2, m_Cache.pinPrefix(Other));
}

TEST(PrefixCache, PinnedBlocksAreNeverEvicted) {
  const auto Hashes = hashBlocks("prompt", 512);
  for (const uint64_t Hash : Hashes)
    m_Cache.store(Hash);
  CHECK_FALSE(m_Cache.evictOne());
  m_Cache.unpin(Hashes, Hashes.size());
  CHECK(m_Cache.evictOne());
  // The last block went first: the first one is still of use.
  CHECK_EQUAL(1, m_Cache.pinPrefix(Hashes));
}

TEST(PrefixCache, EventsComeLateAndWithGaps) {
  for (const uint64_t Hash : hashBlocks("prompt", 1024))
    m_Cache.store(Hash);
  CHECK_EQUAL(0, m_Cache.events(0, std::chrono::hours(1), 0).size());
  CHECK_EQUAL(4, m_Cache.events(0, std::chrono::seconds(0), 0).size());
  CHECK_EQUAL(2, m_Cache.events(0, std::chrono::seconds(0), 2).size());
  CHECK_EQUAL(1, m_Cache.events(3, std::chrono::seconds(0), 0).size());
}
