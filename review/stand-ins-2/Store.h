//===- Store.h - Stand-in of the platform's metadata store ------*- C++ -*-===//
//
// Rows in tables with versions from one counter: reads of a table, a feed of
// its changes, and transactions with conditions.
//
//===----------------------------------------------------------------------===//

#pragma once

#include "Network.h"

#include <condition_variable>
#include <nlohmann/json.hpp>
#include <tuple>
#include <vector>

namespace review {

inline std::string encodeBase64(const std::string &Bytes) {
  static const char Digits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string Text;
  for (size_t I = 0; I < Bytes.size(); I += 3) {
    uint32_t Group = 0;
    for (size_t J = 0; J < 3; ++J)
      Group = Group << 8 |
              (I + J < Bytes.size() ? static_cast<unsigned char>(Bytes[I + J])
                                    : 0U);
    for (size_t J = 0; J < 4; ++J)
      Text += I + J > Bytes.size() ? '=' : Digits[Group >> (18 - 6 * J) & 63];
  }
  return Text;
}

inline std::string decodeBase64(const std::string &Text) {
  std::string Bytes;
  uint32_t Group = 0;
  int Bits = 0;
  for (const char Digit : Text) {
    int Value = 0;
    if (Digit >= 'A' && Digit <= 'Z')
      Value = Digit - 'A';
    else if (Digit >= 'a' && Digit <= 'z')
      Value = Digit - 'a' + 26;
    else if (Digit >= '0' && Digit <= '9')
      Value = Digit - '0' + 52;
    else if (Digit == '+' || Digit == '/')
      Value = Digit == '+' ? 62 : 63;
    else
      break;
    Group = Group << 6 | static_cast<uint32_t>(Value);
    Bits += 6;
    if (Bits >= 8)
      Bytes += static_cast<char>(Group >> (Bits -= 8) & 255);
  }
  return Bytes;
}

class Store {
public:
  using Json = nlohmann::json;

  /// \p OnCall: told of each call, in the thread of its connection.
  explicit Store(std::function<void(const Message &)> OnCall = {})
      : m_OnCall(std::move(OnCall)),
        m_Listener([this](int Handle) { serve(Handle); }) {}
  ~Store() { stop(); }

  uint16_t port() const { return m_Listener.port(); }
  void stop() {
    {
      const std::lock_guard Lock(m_Mutex);
      m_Stopped = true;
    }
    m_Changed.notify_all();
    m_Listener.stop();
    for (std::thread &Late : m_Later)
      if (Late.joinable())
        Late.join();
  }
  void set(const std::string &Table, const std::string &Key,
           const std::string &Value) {
    const std::lock_guard Lock(m_Mutex);
    write(Table, Key, Value);
  }
  /// A write that is performed later.
  void setLater(const std::string &Table, const std::string &Key,
                const std::string &Value, milliseconds Lateness) {
    m_Later.emplace_back([=, this] {
      std::this_thread::sleep_for(Lateness);
      set(Table, Key, Value);
    });
  }
  void remove(const std::string &Table, const std::string &Key) {
    const std::lock_guard Lock(m_Mutex);
    if (m_Rows.erase({Table, Key}) > 0)
      m_Log.push_back({++m_Version, Table, Key, std::nullopt});
    m_Changed.notify_all();
  }

private:
  struct Row {
    uint64_t Version = 0;
    std::string Value;
  };
  struct Change {
    uint64_t Version = 0;
    std::string Table;
    std::string Key;
    std::optional<std::string> Value;
  };

  void write(const std::string &Table, const std::string &Key,
             const std::string &Value) {
    m_Rows[{Table, Key}] = {++m_Version, Value};
    m_Log.push_back({m_Version, Table, Key, Value});
    m_Changed.notify_all();
  }

  void serve(int Handle) {
    Reader Calls(Handle);
    while (const auto Call = Calls.next()) {
      if (m_OnCall)
        m_OnCall(*Call);
      // As long as the platform's sheet says.
      std::this_thread::sleep_for(milliseconds(4));
      const auto [Status, Answer] = answer(*Call);
      const std::string Body = Answer.dump();
      if (!sendAll(Handle, "HTTP/1.1 " + std::to_string(Status) +
                               " Status\r\nContent-Type: application/json"
                               "\r\nContent-Length: " +
                               std::to_string(Body.size()) + "\r\n\r\n" + Body))
        return;
    }
  }

  std::pair<int, Json> answer(const Message &Call) {
    const std::string Target = Call.target();
    const std::string Path = Target.substr(0, Target.find('?'));
    std::unique_lock Lock(m_Mutex);
    if (Path == "/v1/rows-get")
      return {200, read(parameter(Target, "table"), parameter(Target, "part"),
                        parameter(Target, "from"))};
    if (Path == "/v1/rows-feed")
      return {200, watch(Lock, parameter(Target, "table"),
                         std::stoull(parameter(Target, "after")),
                         milliseconds(
                             std::stoul("0" + parameter(Target, "waitMs"))))};
    if (Path == "/v1/rows-tx")
      return commit(Json::parse(Call.Body));
    return {404, Json::object()};
  }

  Json page(Json Rows) const {
    const auto Now = std::chrono::duration_cast<milliseconds>(
        Clock::now() - m_Started + std::chrono::hours(1));
    return {{"rows", std::move(Rows)},
            {"morePages", false},
            {"ver", m_Version},
            {"nowMs", Now.count()}};
  }

  Json read(const std::string &Table, const std::string &Part,
            const std::string &From) const {
    Json Rows = Json::array();
    for (const auto &[Name, Entry] : m_Rows)
      if (Name.first == Table && Name.second >= From && Part.empty())
        Rows.push_back({{"table", Table},
                        {"part", ""},
                        {"key", Name.second},
                        {"ver", Entry.Version},
                        {"value", encodeBase64(Entry.Value)}});
    return page(std::move(Rows));
  }

  Json watch(std::unique_lock<std::mutex> &Lock, const std::string &Table,
             uint64_t After, milliseconds Wait) {
    Json Rows = Json::array();
    const Time End = Clock::now() + Wait;
    while (true) {
      for (const Change &Entry : m_Log)
        if (Entry.Table == Table && Entry.Version > After) {
          Json Row = {{"table", Table},
                      {"part", ""},
                      {"key", Entry.Key},
                      {"ver", Entry.Version}};
          if (Entry.Value)
            Row["value"] = encodeBase64(*Entry.Value);
          else
            Row["tombstone"] = true;
          Rows.push_back(std::move(Row));
        }
      if (!Rows.empty() || m_Stopped ||
          m_Changed.wait_until(Lock, End) == std::cv_status::timeout)
        return page(std::move(Rows));
    }
  }

  std::pair<int, Json> commit(const Json &Transaction) {
    for (const Json &Expected : Transaction.at("expected")) {
      const auto Found =
          m_Rows.find({Expected.at("table"), Expected.at("key")});
      const uint64_t Version =
          Found == m_Rows.end() ? 0 : Found->second.Version;
      if (Version != Expected.at("ver").get<uint64_t>())
        return {412, page(Json::array())};
    }
    for (const Json &Entry : Transaction.at("setKeys"))
      write(Entry.at("table"), Entry.at("key"),
            decodeBase64(Entry.at("value").get<std::string>()));
    return {200, page(Json::array())};
  }

  static std::string parameter(const std::string &Target,
                               const std::string &Name) {
    size_t Begin = Target.find('?');
    while (Begin != std::string::npos) {
      const size_t End = Target.find('&', ++Begin);
      const std::string Pair = Target.substr(Begin, End - Begin);
      if (Pair.compare(0, Name.size() + 1, Name + "=") == 0)
        return decodePercent(Pair.substr(Name.size() + 1));
      Begin = End;
    }
    return {};
  }
  static std::string decodePercent(const std::string &Text) {
    std::string Decoded;
    for (size_t I = 0; I < Text.size(); ++I)
      if (Text[I] == '%' && I + 2 < Text.size()) {
        Decoded +=
            static_cast<char>(std::stoi(Text.substr(I + 1, 2), nullptr, 16));
        I += 2;
      } else {
        Decoded += Text[I];
      }
    return Decoded;
  }

  const Time m_Started = Clock::now();
  std::function<void(const Message &)> m_OnCall;
  std::mutex m_Mutex;
  std::condition_variable m_Changed;
  bool m_Stopped = false;
  uint64_t m_Version = 0;
  std::map<std::pair<std::string, std::string>, Row> m_Rows;
  std::vector<Change> m_Log;
  /// Used by one server only.
  std::vector<std::thread> m_Later;
  Listener m_Listener;
};

} // namespace review
