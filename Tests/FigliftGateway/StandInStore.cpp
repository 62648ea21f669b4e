//===- StandInStore.cpp - Listener and store of the platform --------------===//
//
// See StandInStore.h.
//
//===----------------------------------------------------------------------===//

#include "StandInStore.h"

#include "platform/StoreClient.h"

#include <cstdlib>
#include <nlohmann/json.hpp>
#include <tuple>

namespace figlift::testing {

namespace asio = boost::asio;
using asio::ip::tcp;
using Json = nlohmann::json;
using std::chrono::milliseconds;

namespace {

/// How often a watch looks for changes.
constexpr milliseconds WatchStep{10};
/// Between two pieces of an answer that a small link carries.
constexpr milliseconds PieceInterval{10};

/// The value of \p Name in the query of a request line's target.
std::string queryValue(const std::string &Target, const std::string &Name) {
  const size_t At = Target.find(Name + "=");
  if (At == std::string::npos)
    return {};
  const size_t Begin = At + Name.size() + 1;
  return Target.substr(Begin, Target.find('&', Begin) - Begin);
}

} // namespace

class Listener::Process : public proxy::ActiveRequest {
public:
  explicit Process(Listener &Owner) : m_Owner(Owner) {}
  void callerDisconnected() override { ++m_Owner.Abandoned; }

private:
  Listener &m_Owner;
};

Listener::Listener(asio::io_context &Loop, Behaviour Act, uint16_t Port)
    : m_Acceptor(Loop, {asio::ip::address_v4::loopback(), Port}),
      m_Address{"127.0.0.1", m_Acceptor.local_endpoint().port()},
      m_Act(std::move(Act)) {
  accept();
}

void Listener::accept() {
  m_Acceptor.async_accept([this](const auto &Code, tcp::socket Socket) {
    if (Code || !m_Acceptor.is_open())
      return;
    const auto Connection = std::make_shared<proxy::CallerConnection>(
        std::move(Socket), proxy::CallerLimits{}, *this);
    m_Connections.insert(Connection.get());
    Connection->start();
    accept();
  });
}

void Listener::crash() {
  m_Acceptor.close();
  breakConnections();
}

void Listener::breakConnections() {
  for (proxy::CallerConnection *Each : std::set(m_Connections))
    Each->abort();
}

std::shared_ptr<proxy::ActiveRequest> Listener::handle(proxy::Request What,
                                                       Caller From) {
  if (What.Head.Target == "/v1/kv-list") {
    ++CacheListsAsked;
    proxy::ResponseHead Head;
    Head.Status = 200;
    From->respond(Head, CacheList);
    return std::make_shared<Process>(*this);
  }
  Requests.push_back(What);
  m_Act(What, From);
  return std::make_shared<Process>(*this);
}

StandInStore::StandInStore(asio::io_context &Loop)
    : m_Loop(Loop),
      m_Listener(Loop, [this](const auto &What, const Caller &To) {
        handle(What, To);
      }) {}

void StandInStore::put(const std::string &Table, const std::string &Key,
                       const std::string &Value) {
  write(Table, Key, {Value, ++m_Version, false});
}

void StandInStore::remove(const std::string &Table, const std::string &Key) {
  write(Table, Key, {"", ++m_Version, true});
}

void StandInStore::write(const std::string &Table, const std::string &Key,
                         Row Written) {
  m_Tables[Table][Key] = Written;
  m_History.push_back({Table, Key, std::move(Written)});
}

std::vector<std::string> StandInStore::keys(const std::string &Table) const {
  std::vector<std::string> Names;
  if (const auto Found = m_Tables.find(Table); Found != m_Tables.end())
    for (const auto &[Key, Each] : Found->second)
      if (!Each.Removed)
        Names.push_back(Key);
  return Names;
}

namespace {
Json rowOf(const std::string &Table, const std::string &Key,
           const std::string &Value, uint64_t Version, bool Removed) {
  return {{"table", Table}, {"part", ""},
          {"key", Key},     {"value", slopes::encodeBase64(Value)},
          {"ver", Version}, {"tombstone", Removed}};
}
} // namespace

std::string StandInStore::rows(const std::string &Table) {
  Json List = Json::array();
  for (const auto &[Key, Each] : m_Tables[Table])
    if (!Each.Removed)
      List.push_back(rowOf(Table, Key, Each.Value, Each.Version, false));
  return body(List);
}

std::string StandInStore::changes(const std::string &Table, uint64_t After) {
  Json List = Json::array();
  for (const Write &Each : m_History)
    if (Each.Table == Table && Each.Written.Version > After)
      List.push_back(rowOf(Table, Each.Key, Each.Written.Value,
                           Each.Written.Version, Each.Written.Removed));
  return body(List);
}

std::string StandInStore::body(const Json &Rows) const {
  return Json{{"rows", Rows}, {"morePages", false}, {"ver", m_Version}}.dump();
}

void StandInStore::after(milliseconds Time, std::function<void()> Then) {
  auto Timer = std::make_shared<asio::steady_timer>(m_Loop);
  Timer->expires_after(Time);
  Timer->async_wait([Timer, Then = std::move(Then)](const auto &) { Then(); });
}

void StandInStore::reply(const Caller &To, unsigned Status,
                         const std::string &Body) {
  if (Silent)
    return;
  if (LosesAnswers > 0 && drand48() < LosesAnswers)
    return To->abort();
  ++Answers;
  if (BytesPerSecond == 0)
    return respond(To, Status, Body);
  To->beginStream(head(Status));
  trickle(std::make_shared<Trickle>(
      Trickle{To, Body, 0, std::chrono::steady_clock::now(), false}));
}

proxy::ResponseHead StandInStore::head(unsigned Status) const {
  proxy::ResponseHead Head;
  Head.Status = Status;
  Head.Headers.add("Store-Era", std::to_string(m_Era));
  return Head;
}

void StandInStore::comeBackFromCopy() {
  std::tie(m_Tables, m_Version) = m_Copy;
  std::erase_if(m_History, [this](const Write &Each) {
    return Each.Written.Version > m_Version;
  });
  ++m_Era;
}

void StandInStore::trickle(const std::shared_ptr<Trickle> &What) {
  // By the clock: timers of a busy machine are late.
  const std::chrono::duration<double> Passed =
      std::chrono::steady_clock::now() - What->Begun;
  const auto Due =
      std::min(What->Body.size(),
               static_cast<size_t>(Passed.count() *
                                   static_cast<double>(BytesPerSecond)));
  const size_t Middle = What->Body.size() / 2;
  const bool Stops = Pause > milliseconds(0) && !What->Stopped && Due >= Middle;
  const size_t End = Stops ? std::max(Middle, What->Sent) : Due;
  What->To->writeStream(
      std::string_view(What->Body).substr(What->Sent, End - What->Sent));
  What->Sent = End;
  if (End == What->Body.size())
    return What->To->endStream();
  if (Stops) {
    What->Stopped = true;
    What->Begun += Pause;
  }
  after(Stops ? Pause : PieceInterval, [this, What] { trickle(What); });
}

void StandInStore::handle(const proxy::Request &What, const Caller &From) {
  if (Silent)
    return;
  if (Delay == milliseconds(0))
    return serve(What, From);
  // Read first and answered late: a newer answer may have come before.
  const auto Wait =
      std::chrono::duration_cast<milliseconds>(Delay * 2 * drand48());
  if (What.Head.Target.starts_with("/v1/rows-get")) {
    const std::string Read = rows(queryValue(What.Head.Target, "table"));
    return after(Wait, [this, Read, From] { reply(From, 200, Read); });
  }
  after(Wait, [this, What, From] { serve(What, From); });
}

void StandInStore::serve(const proxy::Request &What, const Caller &From) {
  const std::string &Target = What.Head.Target;
  if (Away)
    return respond(From, 503, "");
  const std::string Table = queryValue(Target, "table");
  if (Target.starts_with("/v1/rows-get"))
    return reply(From, 200, rows(Table));
  if (Target.starts_with("/v1/rows-feed") && Forgetful)
    return respond(From, 410, "");
  if (Target.starts_with("/v1/rows-feed")) {
    const uint64_t After = std::stoull(queryValue(Target, "after"));
    // A version that it does not have.
    if (After > m_Version)
      return respond(From, 410, "");
    return watch(From, Table, After,
                 milliseconds(std::stoul(queryValue(Target, "waitMs"))));
  }
  transact(What, From);
}

void StandInStore::watch(const Caller &From, const std::string &Table,
                         uint64_t After, milliseconds Left) {
  bool Changed = false;
  for (const auto &[Key, Each] : m_Tables[Table])
    Changed = Changed || Each.Version > After;
  if (Changed || Left <= milliseconds(0) || Away)
    return reply(From, Away ? 503 : 200, changes(Table, After));
  after(WatchStep, [this, From, Table, After, Left] {
    watch(From, Table, After, Left - WatchStep);
  });
}

void StandInStore::transact(const proxy::Request &What, const Caller &From) {
  const Json Body = Json::parse(What.Body);
  for (const Json &Each : Body["expected"]) {
    const Row &Now = m_Tables[Each["table"]][Each["key"]];
    const uint64_t Version = Now.Removed ? 0 : Now.Version;
    if (Version != Each["ver"].get<uint64_t>())
      return reply(From, 412, "{}");
  }
  for (const Json &Each : Body["setKeys"])
    put(Each["table"], Each["key"],
        slopes::decodeBase64(Each["value"].get<std::string>()).value());
  reply(From, 200, Json{{"ver", m_Version}}.dump());
}

} // namespace figlift::testing
