//===- Store.h - The platform's metadata store ------------------*- C++ -*-===//
//
// Rows in tables with one counter of versions: transactions under conditions,
// reads, and a feed of changes that waits. It loses nothing and is never slow.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Http.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

using Json = nlohmann::json;

class Store {
public:
  Store() : m_Listener([this](Connection &Caller) { serve(Caller); }) {}

  uint16_t port() const { return m_Listener.port(); }

  /// Writes a row as the operator or a server does. Returns once the write is
  /// acknowledged.
  void put(const std::string &Table, const std::string &Key,
           const Json &Value) {
    const std::scoped_lock Lock(m_Mutex);
    ++m_Version;
    write(Table, Key, encode(Value.dump()));
    m_Changed.notify_all();
  }
  void remove(const std::string &Table, const std::string &Key) {
    const std::scoped_lock Lock(m_Mutex);
    ++m_Version;
    erase(Table, Key);
    m_Changed.notify_all();
  }

private:
  struct Row {
    std::string Value;
    uint64_t Version = 0;
  };
  struct Change {
    std::string Table;
    std::string Key;
    uint64_t Version = 0;
  };
  static constexpr size_t KeptChanges = 20000;

  static std::string encode(std::string_view Bytes) {
    static constexpr char Digits[] =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string Text;
    for (size_t I = 0; I < Bytes.size(); I += 3) {
      uint32_t Group = 0;
      for (size_t J = 0; J < 3; ++J)
        Group = Group << 8 |
                (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                      : 0U);
      for (size_t J = 0; J < 4; ++J)
        Text +=
            J <= Bytes.size() - I ? Digits[Group >> (18 - 6 * J) & 63] : '=';
    }
    return Text;
  }

  void write(const std::string &Table, const std::string &Key,
             std::string Value) {
    m_Tables[Table][Key] = {std::move(Value), m_Version};
    log(Table, Key);
  }
  void erase(const std::string &Table, const std::string &Key) {
    m_Tables[Table].erase(Key);
    log(Table, Key);
  }
  void log(const std::string &Table, const std::string &Key) {
    m_Changes.push_back({Table, Key, m_Version});
    if (m_Changes.size() > KeptChanges)
      m_Changes.erase(m_Changes.begin(), m_Changes.begin() + KeptChanges / 2);
  }

  Json rowOf(const std::string &Table, const std::string &Key) {
    const auto &Rows = m_Tables[Table];
    const auto Found = Rows.find(Key);
    Json Row = {{"table", Table}, {"part", ""}, {"key", Key}};
    if (Found == Rows.end()) {
      Row["ver"] = 0;
    } else {
      Row["value"] = Found->second.Value;
      Row["ver"] = Found->second.Version;
    }
    return Row;
  }

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    size_t From = Target.find('?');
    while (From != std::string::npos) {
      const size_t Next = Target.find('&', From + 1);
      const std::string Pair = Target.substr(
          From + 1, Next == std::string::npos ? Next : Next - From - 1);
      if (Pair.starts_with(Name + "="))
        return decoded(Pair.substr(Name.size() + 1));
      From = Next;
    }
    return {};
  }
  static std::string decoded(const std::string &Text) {
    std::string Plain;
    for (size_t I = 0; I < Text.size(); ++I)
      if (Text[I] == '%' && I + 2 < Text.size()) {
        Plain += static_cast<char>(
            std::strtoul(Text.substr(I + 1, 2).c_str(), nullptr, 16));
        I += 2;
      } else {
        Plain += Text[I];
      }
    return Plain;
  }

  Json transact(const Json &Call, unsigned &Status) {
    const std::scoped_lock Lock(m_Mutex);
    Json Rows = Json::array();
    bool Holds = true;
    for (const Json &Entry : Call.value("expected", Json::array())) {
      Rows.push_back(rowOf(Entry.at("table"), Entry.at("key")));
      Holds = Holds && Rows.back().at("ver") == Entry.at("ver");
    }
    if (!Holds) {
      Status = 412;
      return {{"rows", Rows}, {"ver", m_Version}, {"nowMs", now()}};
    }
    ++m_Version;
    for (const Json &Entry : Call.value("setKeys", Json::array()))
      write(Entry.at("table"), Entry.at("key"), Entry.at("value"));
    for (const Json &Entry : Call.value("remove", Json::array()))
      erase(Entry.at("table"), Entry.at("key"));
    m_Changed.notify_all();
    return {{"ver", m_Version}, {"nowMs", now()}};
  }
  Json read(const std::string &Target) {
    const std::scoped_lock Lock(m_Mutex);
    const std::string Table = parameter(Target, "table");
    const std::string From = parameter(Target, "from");
    Json Rows = Json::array();
    for (const auto &[Key, Value] : m_Tables[Table])
      if (Key >= From)
        Rows.push_back(rowOf(Table, Key));
    return {{"rows", Rows},
            {"morePages", false},
            {"ver", m_Version},
            {"nowMs", now()}};
  }
  Json feed(const std::string &Target) {
    const std::string Table = parameter(Target, "table");
    const uint64_t After =
        std::strtoull(parameter(Target, "after").c_str(), nullptr, 10);
    const milliseconds Wait(std::atoi(parameter(Target, "waitMs").c_str()));
    const auto Until = Clock::now() + Wait;
    std::unique_lock Lock(m_Mutex);
    const auto Matches = [&](const Change &Any) {
      return Any.Version > After && Any.Table == Table;
    };
    m_Changed.wait_until(Lock, Until, [&] {
      return std::any_of(m_Changes.begin(), m_Changes.end(), Matches);
    });
    Json Rows = Json::array();
    for (const Change &Any : m_Changes) {
      if (!Matches(Any))
        continue;
      Json Row = rowOf(Table, Any.Key);
      if (Row.at("ver") == 0)
        Row["tombstone"] = true;
      Row["ver"] = Any.Version;
      Rows.push_back(std::move(Row));
    }
    return {{"rows", Rows}, {"ver", m_Version}, {"nowMs", now()}};
  }
  static int64_t now() {
    return std::chrono::duration_cast<milliseconds>(
               Clock::now().time_since_epoch())
        .count();
  }

  void serve(Connection &Caller) {
    while (const auto Call =
               Caller.receive(Clock::now() + milliseconds(60000))) {
      const std::string Target = Call->target();
      unsigned Status = 200;
      Json Answer = Json::object();
      if (Target.starts_with("/v1/rows-tx"))
        Answer = transact(Json::parse(Call->Body), Status);
      else if (Target.starts_with("/v1/rows-get"))
        Answer = read(Target);
      else if (Target.starts_with("/v1/rows-feed"))
        Answer = feed(Target);
      else
        Status = 404;
      const std::string Body = Answer.dump();
      if (!Caller.send("HTTP/1.1 " + std::to_string(Status) +
                       " Answer\r\nContent-Type: application/json\r\n"
                       "Content-Length: " +
                       std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  std::map<std::string, std::map<std::string, Row>> m_Tables;
  std::vector<Change> m_Changes;
  uint64_t m_Version = 0;
  /// The last member: its thread uses the others.
  Listener m_Listener;
};

} // namespace review
