//===- TestTenantTable.cpp - Tests of tenants and API keys ----------------===//
//
// Lookups, invalid tenants, and the authentication of requests.
//
//===----------------------------------------------------------------------===//

#include "LibTenant/Authentication.h"

#include <CppUTest/TestHarness.h>

using namespace figlift;
using namespace figlift::tenant;

TEST_GROUP(TenantTable) {
  TenantTable Table;

  void add(const char *Name, const std::vector<std::string> &Keys) {
    CHECK(Table.add({Name, std::nullopt}, Keys).has_value());
  }
  void rejects(const char *Name, const std::vector<std::string> &Keys,
               const char *Field) {
    const auto Added = Table.add({Name, std::nullopt}, Keys);
    CHECK(!Added.has_value());
    STRCMP_EQUAL(Field, Added.error().Field.c_str());
    for (const std::string &Key : Keys)
      CHECK(Key.empty() ||
            Added.error().Message.find(Key) == std::string::npos);
  }
  Authentication present(const Credential &Presented,
                         Access RouteAccess = Access::Tenants) {
    return authenticate(&Table, RouteAccess, Presented);
  }
};

TEST(TenantTable, FindsEachKeyOfATenant) {
  add("a", {"key-one", "key-two"});
  add("b", {"key-three"});
  STRCMP_EQUAL("a", Table.find("key-one")->Name.c_str());
  STRCMP_EQUAL("a", Table.find("key-two")->Name.c_str());
  STRCMP_EQUAL("b", Table.find("key-three")->Name.c_str());
}

TEST(TenantTable, FindsNoOtherKey) {
  add("a", {"key-one"});
  for (const std::string &Key :
       {std::string(), std::string("key"), std::string("key-one "),
        std::string("KEY-ONE"), std::string("key-one\0", 8),
        std::string(65536, 'k')})
    CHECK(!Table.find(Key));
}

TEST(TenantTable, KeepsATenantWithoutKeys) {
  add("a", {});
  LONGS_EQUAL(1, Table.tenantCount());
  LONGS_EQUAL(0, Table.keyCount());
}

TEST(TenantTable, RejectsInvalidTenants) {
  add("a", {"key-of-a"});
  rejects("a", {}, "name");
  rejects("", {}, "name");
  rejects("b", {"key-of-a"}, "keys");
  rejects("c", {""}, "keys");
  rejects("d", {std::string(MaximumKeyLength + 1, 'k')}, "keys");
}

TEST(TenantTable, FindsOneOfTenThousandKeys) {
  for (int Number = 0; Number < 10000; ++Number)
    add(("t" + std::to_string(Number)).c_str(),
        {"key-" + std::to_string(Number)});
  STRCMP_EQUAL("t7391", Table.find("key-7391")->Name.c_str());
  CHECK(!Table.find("key-10000"));
}

TEST(TenantTable, AuthenticatesByExactlyOneKey) {
  add("a", {"k"});
  STRCMP_EQUAL("a",
               std::get<Authenticated>(present({1, "k"})).Holder->Name.c_str());
  CHECK(std::holds_alternative<Unauthenticated>(present({0, ""})));
  CHECK(std::holds_alternative<Unauthenticated>(present({1, ""})));
  CHECK(std::holds_alternative<Unauthenticated>(present({1, "other"})));
  CHECK(std::holds_alternative<Unauthenticated>(present({2, "k"})));
}

TEST(TenantTable, NeedsNoKeyOnPublicRoutesOrWithoutTenants) {
  CHECK(std::holds_alternative<Anonymous>(present({0, ""}, Access::Public)));
  CHECK(std::holds_alternative<Anonymous>(present({2, "x"}, Access::Public)));
  CHECK(std::holds_alternative<Anonymous>(
      authenticate(nullptr, Access::Tenants, {0, ""})));
}
