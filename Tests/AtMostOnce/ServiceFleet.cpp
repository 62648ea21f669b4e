//===- ServiceFleet.cpp - Keyed calls and the services' books -------------===//
//
// See ServiceFleet.h.
//
//===----------------------------------------------------------------------===//

#include "ServiceFleet.h"

#include "Support/WaitUntil.h"

#include "LibIdempotency/GrantRow.h"

#include <algorithm>
#include <set>

using namespace figlift;
using namespace figlift::test;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr int AllSlices = figlift::idempotency::SliceCount;

std::vector<std::string> homeNames(unsigned Services) {
  std::vector<std::string> Names;
  for (unsigned Index = 1; Index <= Services; ++Index)
    Names.push_back("booking-core-" + std::to_string(Index));
  return Names;
}

FleetOptions optionsFor(const std::vector<std::string> &Homes) {
  FleetOptions Options;
  for (const std::string &Id : Homes) {
    TargetOptions Service;
    Service.Id = Id;
    Service.BackEnd = "booking-core";
    Service.IsEngine = false;
    Options.Targets.push_back(Service);
  }
  Options.Records = R"([
    {"schemaVersion": 1, "kind": "backEnd", "name": "booking-core",
     "spec": {"type": "service", "nonRepeatablePaths": ["/slots"]}}])";
  Options.AgentSettings = {
      {"target", {{"timeout", "2s"}}},
      {"limits",
       {{"keyAheadMaximum", "300ms"},
        {"keyTimeMargin", std::to_string(KeyTimeMargin.count()) + "ms"}}}};
  return Options;
}

bool isRefusal(const Answer &Got) { return Got.executed() == "not-run"; }

} // namespace

ServiceFleet::ServiceFleet(unsigned Services)
    : m_Homes(homeNames(Services)), m_Fleet(optionsFor(m_Homes)) {}

std::string ServiceFleet::waitUntilHeld() {
  if (!m_Fleet.ready())
    return m_Fleet.problem();
  const bool Held = waitUntil(Patience, [this] {
    int Sum = 0;
    for (const std::string &Home : m_Homes)
      Sum += std::max(0, slicesHeld(Home));
    return Sum == AllSlices;
  });
  return Held ? "" : "not all slices are held: " + m_Fleet.logs();
}

Answer ServiceFleet::send(const std::string &Entry, const std::string &Key,
                          milliseconds Deadline) {
  Headers Fields{
      {"X-Figlift-Deadline", std::to_string(Deadline.count()) + "ms"}};
  if (!Key.empty())
    Fields["Idempotency-Key"] = Key;
  Answer Got =
      call(m_Fleet.callers(Entry), "POST", "/v1/services/booking-core/slots/7",
           "{}", Fields, Deadline + seconds(5));
  const std::lock_guard Lock(m_Mutex);
  m_Journal.push_back({Key, Got});
  return Got;
}

Answer ServiceFleet::sendUntilSettled(const std::string &Entry,
                                      const std::string &Key) {
  Answer Got;
  waitUntil(Patience, [&] {
    Got = send(Entry, Key);
    return Got.Status == 200 || Got.resultCode() == OutcomeUnknownCode;
  });
  return Got;
}

idempotency::GrantTable ServiceFleet::grants() const {
  const json Row = m_Fleet.getJson(m_Fleet.platform(),
                                   "/v1/table/row?key=slice/booking-core");
  if (!Row.is_object())
    return {};
  const auto Read = idempotency::readGrantRow(Row.value("value", ""));
  return Read ? Read.value() : idempotency::GrantTable{};
}

std::string ServiceFleet::homeOf(const std::string &Key) const {
  return grants()[idempotency::sliceOf(Key)].Home;
}

std::string ServiceFleet::keyAt(const std::string &Home) const {
  std::string Key;
  const bool Found = waitUntil(Patience, [&] {
    Key = freshKey();
    return homeOf(Key) == Home;
  });
  return Found ? Key : "";
}

std::string ServiceFleet::newKeyAt(const std::string &Home) const {
  const auto Begin = std::chrono::steady_clock::now();
  waitUntil(Patience, [&] {
    return std::chrono::steady_clock::now() - Begin > KeyTimeMargin;
  });
  return keyAt(Home);
}

int ServiceFleet::slicesHeld(const std::string &Home) const {
  const json Status = m_Fleet.getJson(m_Fleet.admin(Home), "/status");
  return Status.is_object() ? Status.value("slices", -1) : -1;
}

void ServiceFleet::slowSliceWrites(milliseconds Delay) {
  call(m_Fleet.platform(), "POST", "/control/fault",
       json{{"mode", "slow"},
            {"delay", std::to_string(Delay.count()) + "ms"},
            {"scope", "/v1/table/commit"},
            {"containing", "slice/"}}
           .dump());
}

int ServiceFleet::platformStatistic(const std::string &Name) const {
  const json Found = m_Fleet.getJson(m_Fleet.platform(), "/control/stats");
  return Found.is_object() ? Found.value(Name, 0) : 0;
}

void ServiceFleet::setServices(const json &Settings) {
  for (const std::string &Home : m_Homes)
    call(m_Fleet.target(Home), "POST", "/control/settings", Settings.dump());
}

void ServiceFleet::crashService(const std::string &Home,
                                const std::string &When) {
  call(m_Fleet.target(Home), "POST", "/control/crash",
       json{{"when", When}, {"restart_after", "300ms"}}.dump());
}

json ServiceFleet::bookOf(const std::string &Home) const {
  json Book;
  waitUntil(Patience, [&] {
    Book = m_Fleet.book(Home);
    return Book.is_object() && Book.contains("executions");
  });
  return Book;
}

int ServiceFleet::count(const std::string &Name) const {
  int Sum = 0;
  for (const std::string &Home : m_Homes)
    Sum += bookOf(Home).value(Name, 0);
  return Sum;
}

int ServiceFleet::executionsOf(const std::string &Key) const {
  const std::map<std::string, int> All = executions();
  const auto Found = All.find(Key);
  return Found == All.end() ? 0 : Found->second;
}

bool ServiceFleet::waitForRunning(int Calls) const {
  return waitUntil(Patience, [&] { return count("running") == Calls; });
}

std::map<std::string, int> ServiceFleet::executions() const {
  std::map<std::string, int> Sum;
  for (const std::string &Home : m_Homes) {
    const json Book = bookOf(Home);
    for (const auto &[Key, Times] : Book.at("executions").items())
      Sum[Key] += Times.get<int>();
  }
  return Sum;
}

/// "Not run" speaks of one call, so a key of which some other call may have
/// run may also have been refused: there must be no more executions than calls
/// that were told anything else.
/// Two answers to one key are the same, but for one that the end of its entry
/// cut short: that one is the beginning of the other.
static bool agree(const Answer &One, const Answer &Other) {
  const bool OneIsShorter = One.Body.size() <= Other.Body.size();
  const Answer &Short = OneIsShorter ? One : Other;
  const Answer &Long = OneIsShorter ? Other : One;
  if (Short.Whole)
    return Short.Body == Long.Body;
  return Long.Body.starts_with(Short.Body);
}

std::string ServiceFleet::judgeKey(const std::string &Key, const Told &Answers,
                                   int Executions) {
  const auto MayHaveRun = std::ranges::count_if(
      Answers, [](const Answer *Each) { return !isRefusal(*Each); });
  if (Executions > 1)
    return "key " + Key + " ran " + std::to_string(Executions) + " times";
  if (Executions > MayHaveRun)
    return "key " + Key +
           " ran, but every call was told not-run: " + Answers.front()->Body;
  const Answer *First = nullptr;
  for (const Answer *Each : Answers) {
    if (Each->Status != 200)
      continue;
    if (Executions == 0)
      return "key " + Key + " was answered and never ran";
    if (First && !agree(*First, *Each))
      return "key " + Key + " got two different answers: " + First->Body +
             " and " + Each->Body;
    if (!First || Each->Body.size() > First->Body.size())
      First = Each;
  }
  return {};
}

std::string ServiceFleet::judge() {
  if (!waitForRunning(0))
    return "calls still run at the services";
  const std::map<std::string, int> Ran = executions();
  const std::lock_guard Lock(m_Mutex);
  std::map<std::string, Told> ByKey;
  for (const Line &Each : m_Journal)
    ByKey[Each.Key].push_back(&Each.Got);
  for (const auto &[Key, Answers] : ByKey) {
    if (Key.empty())
      continue;
    const auto Found = Ran.find(Key);
    std::string Broken =
        judgeKey(Key, Answers, Found == Ran.end() ? 0 : Found->second);
    if (!Broken.empty())
      return Broken;
  }
  for (const auto &[Key, Times] : Ran)
    if (!ByKey.contains(Key))
      return "key " + Key + " ran and nobody sent it";
  return {};
}

std::string ServiceFleet::figures() const {
  const std::map<std::string, int> Ran = executions();
  const std::lock_guard Lock(m_Mutex);
  size_t Unknown = 0;
  size_t Refused = 0;
  size_t RefusedOfRun = 0;
  std::set<std::string> Keys;
  std::set<std::string> KeysUnknown;
  std::set<std::string> KeysAnswered;
  for (const Line &Each : m_Journal) {
    const bool IsUnknown = Each.Got.resultCode() == OutcomeUnknownCode;
    Unknown += IsUnknown;
    Refused += isRefusal(Each.Got);
    RefusedOfRun += isRefusal(Each.Got) && Ran.contains(Each.Key);
    Keys.insert(Each.Key);
    if (IsUnknown)
      KeysUnknown.insert(Each.Key);
    if (Each.Got.Status == 200)
      KeysAnswered.insert(Each.Key);
  }
  std::erase_if(KeysUnknown, [&](const std::string &Key) {
    return KeysAnswered.contains(Key);
  });
  return std::to_string(Unknown) + " of " + std::to_string(m_Journal.size()) +
         " answers were \"outcome unknown\", " +
         std::to_string(KeysUnknown.size()) + " of " +
         std::to_string(Keys.size()) + " keys got nothing better; " +
         std::to_string(Refused) + " calls were refused as not run, " +
         std::to_string(RefusedOfRun) +
         " of them with a key that another call ran";
}
