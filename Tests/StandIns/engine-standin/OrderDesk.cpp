//===- OrderDesk.cpp - Orders to the engine -------------------------------===//
//
// One thread executes the orders; the mutex is free while it waits.
//
//===----------------------------------------------------------------------===//

#include "OrderDesk.h"

#include <cpprest/http_client.h>

#include <algorithm>
#include <sstream>
#include <stdexcept>
#include <thread>

namespace figlift::standin {

namespace {

constexpr unsigned WeightAttempts = 60;
constexpr std::chrono::seconds WeightTimeout{2};

std::string versionedName(const Json &Order) {
  return Order.at("model").get<std::string>() + "/" +
         Order.value("version", "1");
}

void check(const Json &Order) {
  const auto Kind = Order.at("kind").get<std::string>();
  if (Kind == "set_role") {
    const auto Role = Order.at("role").get<std::string>();
    if (Role != "prefill" && Role != "decode" && Role != "mixed")
      throw std::invalid_argument("no such role: " + Role);
    return;
  }
  if (Kind != "load_model" && Kind != "unload_model")
    throw std::invalid_argument("no such kind of order: " + Kind);
  (void)Order.at("model").get<std::string>();
}

/// Seconds to wait before the next attempt; 0: fetched; nothing: failed.
std::optional<std::chrono::seconds> fetchOnce(const std::string &Platform,
                                              const std::string &Path) {
  web::http::client::http_client_config Config;
  Config.set_timeout(WeightTimeout);
  web::http::client::http_client Client("http://" + Platform, Config);
  try {
    const auto Response =
        Client.request(web::http::methods::GET, "/v1/weights/" + Path).get();
    if (Response.status_code() == 200)
      return std::chrono::seconds(0);
    if (Response.status_code() != 429 && Response.status_code() != 503)
      return std::nullopt;
    const auto Wait = Response.headers().find("Retry-After");
    return std::chrono::seconds(
        Wait == Response.headers().end() ? 1 : std::stoul(Wait->second));
  } catch (const std::exception &) {
    return std::chrono::seconds(1);
  }
}

} // namespace

OrderDesk::OrderDesk(const EngineOptions &Options, Effects Hooks)
    : m_Options(Options), m_Hooks(std::move(Hooks)) {
  reset();
  std::thread([this] { run(); }).detach();
}

void OrderDesk::reset() {
  m_Role = m_Options.Role;
  m_Models.clear();
  m_Queue.clear();
  m_LastOrder.clear();
  m_LastState = "done";
  m_HighestEpoch = 0;
  std::istringstream Names(m_Options.Models);
  for (std::string Name; std::getline(Names, Name, ',');) {
    const size_t At = Name.find('@');
    m_Models[Name.substr(0, At)].Version =
        At == std::string::npos ? "1" : Name.substr(At + 1);
  }
}

void OrderDesk::forget() {
  const std::lock_guard Lock(m_Mutex);
  ++m_Life;
  reset();
  m_Changed.notify_all();
}

void OrderDesk::configure(const Json &Settings) {
  const std::lock_guard Lock(m_Mutex);
  m_Options.OrderDuration =
      durationOr(Settings, "order_duration", m_Options.OrderDuration);
  m_Options.HonourEpoch = Settings.value("honour_epoch", m_Options.HonourEpoch);
  m_Options.RefuseBusy = Settings.value("refuse_busy", m_Options.RefuseBusy);
  m_FailNext = Settings.value("fail_orders", m_FailNext);
}

void OrderDesk::crashAt(const std::string &Point) {
  const std::lock_guard Lock(m_Mutex);
  m_CrashPoint = Point;
}

std::pair<int, Json> OrderDesk::submit(const Json &Order) {
  check(Order);
  const auto Id = Order.at("order_id").get<std::string>();
  const auto Epoch = Order.value("epoch", uint64_t(0));
  const std::lock_guard Lock(m_Mutex);
  if (Id == m_LastOrder)
    return {202, {{"state", m_LastState}}};
  if (m_Options.HonourEpoch && Epoch < m_HighestEpoch) {
    enter(Order, false, false);
    return {409, {{"highest_epoch", m_HighestEpoch}}};
  }
  if (!m_Queue.empty() && m_Options.RefuseBusy) {
    enter(Order, false, false);
    return {409, {{"busy", m_Queue.front().at("order_id")}}};
  }
  enter(Order, true, !m_Queue.empty() || Epoch < m_HighestBooked);
  m_HighestEpoch = std::max(m_HighestEpoch, Epoch);
  m_HighestBooked = std::max(m_HighestBooked, Epoch);
  m_LastOrder = Id;
  m_LastState = "running";
  m_Queue.push_back(Order);
  m_Changed.notify_all();
  return {202, {{"state", "running"}}};
}

void OrderDesk::enter(const Json &Order, bool Accepted, bool Conflicting) {
  m_Book.push_back({{"order_id", Order.at("order_id")},
                    {"epoch", Order.value("epoch", uint64_t(0))},
                    {"kind", Order.at("kind")},
                    {"accepted", Accepted},
                    {"conflicting", Conflicting}});
}

void OrderDesk::run() {
  std::unique_lock Lock(m_Mutex);
  for (;;) {
    m_Changed.wait(Lock, [&] { return !m_Queue.empty(); });
    const uint64_t Life = m_Life;
    const Json Order = m_Queue.front();
    const bool Succeeded = execute(Order, Lock);
    if (Life != m_Life)
      continue;
    m_Queue.pop_front();
    if (m_LastOrder == Order.at("order_id"))
      m_LastState = Succeeded ? "done" : "failed";
  }
}

bool OrderDesk::execute(const Json &Order, std::unique_lock<std::mutex> &Lock) {
  const auto Kind = Order.at("kind").get<std::string>();
  const uint64_t Life = m_Life;
  if (Kind != "load_model") {
    Lock.unlock();
    m_Hooks.Cut(Kind == "set_role" ? "" : Order.at("model"));
    Lock.lock();
  }
  if (!pause(m_Options.OrderDuration / 2, Lock))
    return false;
  if (crashesAt("order") && !pause(std::chrono::hours(1), Lock))
    return false;
  if (Kind == "load_model" && !fetchWeights(Order, Lock))
    return false;
  if (Life != m_Life || !pause(m_Options.OrderDuration / 2, Lock))
    return false;
  if (m_FailNext > 0) {
    --m_FailNext;
    return false;
  }
  takeEffect(Order);
  return !crashesAt("order-effect") || pause(std::chrono::hours(1), Lock);
}

bool OrderDesk::pause(std::chrono::microseconds Time,
                      std::unique_lock<std::mutex> &Lock) {
  return !m_Changed.wait_for(Lock, Time,
                             [this, Life = m_Life] { return Life != m_Life; });
}

bool OrderDesk::fetchWeights(const Json &Order,
                             std::unique_lock<std::mutex> &Lock) {
  if (m_Options.Platform.empty())
    return true;
  const uint64_t Life = m_Life;
  for (unsigned Attempt = 0; Attempt < WeightAttempts; ++Attempt) {
    Lock.unlock();
    const auto Wait = fetchOnce(m_Options.Platform, versionedName(Order));
    Lock.lock();
    if (Life != m_Life || !Wait)
      return false;
    if (Wait->count() == 0)
      return true;
    if (!pause(*Wait, Lock))
      return false;
  }
  return false;
}

void OrderDesk::takeEffect(const Json &Order) {
  const auto Kind = Order.at("kind").get<std::string>();
  if (Kind == "set_role") {
    m_Role = Order.at("role").get<std::string>();
    m_Hooks.SetRole(m_Role);
    return;
  }
  const auto Name = Order.at("model").get<std::string>();
  const std::string Adapter = Order.value("adapter", "");
  if (Kind == "load_model") {
    m_Models[Name].Version = Order.value("version", "1");
    if (!Adapter.empty())
      m_Models[Name].Adapters.insert(Adapter);
    return;
  }
  if (Adapter.empty())
    m_Models.erase(Name);
  else if (const auto Found = m_Models.find(Name); Found != m_Models.end())
    Found->second.Adapters.erase(Adapter);
}

bool OrderDesk::crashesAt(const std::string &Point) {
  if (m_CrashPoint != Point)
    return false;
  m_CrashPoint.clear();
  m_Hooks.Crash();
  return true;
}

bool OrderDesk::running() {
  const std::lock_guard Lock(m_Mutex);
  return !m_Queue.empty();
}

bool OrderDesk::serves(const std::string &Model) {
  const size_t At = Model.find('@');
  const std::lock_guard Lock(m_Mutex);
  const auto Found = m_Models.find(Model.substr(0, At));
  return Found != m_Models.end() &&
         (At == std::string::npos ||
          Found->second.Version == Model.substr(At + 1));
}

Json OrderDesk::state() {
  const std::lock_guard Lock(m_Mutex);
  Json Models = Json::array();
  for (const auto &[Name, Loaded] : m_Models)
    Models.push_back({{"name", Name},
                      {"version", Loaded.Version},
                      {"adapters", Loaded.Adapters}});
  return {{"role", m_Role},
          {"models", Models},
          {"order_id", m_LastOrder},
          {"order_state", m_LastState},
          {"highest_epoch", m_HighestEpoch}};
}

Json OrderDesk::book() {
  const std::lock_guard Lock(m_Mutex);
  return m_Book;
}

} // namespace figlift::standin
