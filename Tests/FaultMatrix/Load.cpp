//===- Load.cpp - A light load while something breaks ---------------------===//
//
// See Load.h.
//
//===----------------------------------------------------------------------===//

#include "FaultMatrix/Load.h"

using namespace figlift::test;
using Clock = std::chrono::steady_clock;

namespace {
constexpr unsigned Tokens = 30;
constexpr std::chrono::seconds CallLimit{15};
} // namespace

Load::Load(Fleet &On, unsigned Callers, bool WithHolds) : m_Fleet(On) {
  const auto &Entries = On.options().Entries;
  for (unsigned Each = 0; Each < Callers; ++Each) {
    m_Threads.emplace_back([this, &Entries, Each] {
      size_t Entry = Each;
      for (unsigned Number = 0; !m_Stop; ++Number)
        Entry += !complete(m_Fleet.callers(Entries[Entry % Entries.size()]),
                           Each * 100000 + Number);
    });
    if (!WithHolds)
      continue;
    m_Threads.emplace_back([this, &Entries, Each] {
      for (size_t Entry = Each; !m_Stop;)
        Entry += !hold(m_Fleet.callers(Entries[Entry % Entries.size()]));
    });
  }
}

void Load::stop() {
  {
    const std::lock_guard Guard(m_Lock);
    m_Stop = true;
  }
  m_Stopped.notify_all();
  for (std::thread &Each : m_Threads)
    if (Each.joinable())
      Each.join();
}

bool Load::complete(const std::string &Entry, unsigned Number) {
  const std::string Prompt = "lesson note " + std::to_string(Number);
  const auto Begin = Clock::now();
  const Answer Got =
      call(Entry, "POST", "/v1/completions",
           completionBody("desk", Prompt, Tokens), {}, CallLimit);
  const std::string Text = Got.streamedText();
  const std::string Expected = expectedText(Prompt, Tokens);
  if (!Expected.starts_with(Text))
    blame("wrong text: " + Text + " instead of " + Expected);
  if (Got.isStreamComplete() && Got.Status == 200 && Text != Expected)
    blame("ended as whole, but is not: " + Got.Body);
  note({Begin, {}, Got.isStreamComplete() && Text == Expected, false});
  return Got.Status != 0;
}

bool Load::hold(const std::string &Entry) {
  KeyedCall Mine{freshKey()};
  const auto Begin = Clock::now();
  const Answer Got = call(Entry, "POST", "/v1/services/booking-core/slots/1",
                          "{}", {{"Idempotency-Key", Mine.Key}}, CallLimit);
  Mine.Answered = Got.Status == 200;
  Mine.SaysNotRun = Got.executed() == "not-run";
  note({Begin, {}, Mine.Answered, true});
  const std::lock_guard Guard(m_Lock);
  m_Keyed.push_back(Mine);
  return Got.Status != 0;
}

void Load::note(Sample What) {
  What.End = Clock::now();
  m_Whole += What.Whole;
  {
    const std::lock_guard Guard(m_Lock);
    m_Samples.push_back(What);
  }
  // A refusal comes at once; without a pause the callers would only spin.
  constexpr std::chrono::milliseconds PauseAfterFailure{50};
  if (What.Whole)
    return;
  std::unique_lock Guard(m_Lock);
  m_Stopped.wait_for(Guard, PauseAfterFailure,
                     [this] { return m_Stop.load(); });
}

void Load::blame(const std::string &What) {
  const std::lock_guard Guard(m_Lock);
  if (m_Violation.empty())
    m_Violation = What;
}

size_t Load::total() const {
  const std::lock_guard Guard(m_Lock);
  return m_Samples.size();
}

std::vector<Sample> Load::samples() const {
  const std::lock_guard Guard(m_Lock);
  return m_Samples;
}

std::string Load::violation() {
  const std::lock_guard Guard(m_Lock);
  if (!m_Violation.empty())
    return m_Violation;
  nlohmann::json Runs = nlohmann::json::object();
  for (const TargetOptions &Target : m_Fleet.options().Targets)
    if (!Target.IsEngine)
      Runs = m_Fleet.book(Target.Id).value("executions", Runs);
  for (const KeyedCall &Each : m_Keyed) {
    const int Times = Runs.value(Each.Key, 0);
    if (Times > 1)
      return "key ran " + std::to_string(Times) + " times: " + Each.Key;
    if (Times == 1 && Each.SaysNotRun)
      return "\"not run\" was said of a key that ran: " + Each.Key;
    if (Times == 0 && Each.Answered)
      return "a key was answered that never ran: " + Each.Key;
  }
  return {};
}
