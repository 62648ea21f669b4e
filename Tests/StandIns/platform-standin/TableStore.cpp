//===- TableStore.cpp - Transactional table in memory ---------------------===//
//
// One mutex makes every commit atomic.
//
//===----------------------------------------------------------------------===//

#include "TableStore.h"

namespace figlift::standin {

Json TableStore::describe(const std::string &Key, const Row &Found) const {
  return {{"key", Key},
          {"version", Found.Present ? Found.Version : 0},
          {"value", Found.Present ? Found.Value : std::string()}};
}

Json TableStore::read(const std::string &Key) const {
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Rows.find(Key);
  return describe(Key, Found == m_Rows.end() ? Row() : Found->second);
}

Json TableStore::range(const std::string &Prefix, const std::string &After,
                       size_t Limit) const {
  const std::lock_guard Lock(m_Mutex);
  Json Rows = Json::array();
  auto Next =
      After < Prefix ? m_Rows.lower_bound(Prefix) : m_Rows.upper_bound(After);
  for (; Next != m_Rows.end() && Rows.size() < Limit; ++Next) {
    if (!Next->first.starts_with(Prefix))
      break;
    if (Next->second.Present)
      Rows.push_back(describe(Next->first, Next->second));
  }
  return Rows;
}

std::optional<std::string> TableStore::commit(const Json &Transaction) {
  const Json Conditions = Transaction.value("conditions", Json::array());
  const Json Writes = Transaction.value("writes", Json::array());
  // All members are read before the first write: malformed input must not
  // leave half a transaction behind.
  std::vector<std::pair<std::string, Row>> Parsed;
  for (const Json &Write : Writes) {
    Row New;
    New.Present = !Write.value("delete", false);
    if (New.Present)
      New.Value = Write.at("value").get<std::string>();
    Parsed.emplace_back(Write.at("key").get<std::string>(), std::move(New));
  }
  const std::lock_guard Lock(m_Mutex);
  for (const Json &Condition : Conditions) {
    const auto Key = Condition.at("key").get<std::string>();
    const auto Found = m_Rows.find(Key);
    const bool Present = Found != m_Rows.end() && Found->second.Present;
    if ((Present ? Found->second.Version : 0) !=
        Condition.at("version").get<uint64_t>())
      return Key;
  }
  for (auto &[Key, New] : Parsed) {
    Row &Stored = m_Rows[Key];
    New.Version = Stored.Version + 1;
    Stored = std::move(New);
  }
  return std::nullopt;
}

} // namespace figlift::standin
