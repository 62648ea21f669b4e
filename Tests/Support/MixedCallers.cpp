//===- MixedCallers.cpp - A running mixed load of callers -----------------===//
//
// See MixedCallers.h.
//
//===----------------------------------------------------------------------===//

#include "Support/MixedCallers.h"

#include "Support/WaitUntil.h"

using namespace figlift::test;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr unsigned Kinds = 4;
constexpr size_t LongPromptBytes = 16000;
constexpr seconds CallLimit{60};
/// A call that is refused for so long counts as never served.
constexpr seconds RefusedLimit{30};
constexpr milliseconds Pause{50};
constexpr size_t FaultsTold = 10;

std::string describe(const Answer &Got) {
  const std::string Tail =
      Got.Body.size() > 300 ? Got.Body.substr(Got.Body.size() - 300) : Got.Body;
  return "status " + std::to_string(Got.Status) + ", " +
         std::to_string(Got.Body.size()) + " bytes after " +
         std::to_string(Got.Took.count()) + " ms, ends: " + Tail;
}

} // namespace

std::string CallerTally::text() const {
  std::string Text = std::to_string(Whole) + " whole, " +
                     std::to_string(Refused) + " refused, " +
                     std::to_string(Unreached) + " unreached, " +
                     std::to_string(Faults.size()) + " faults";
  for (size_t Index = 0; Index < std::min(Faults.size(), FaultsTold); ++Index)
    Text += "\n" + Faults[Index];
  return Text;
}

MixedCallers::MixedCallers(Fleet &Under, CallerMix Mix)
    : m_Fleet(Under), m_Mix(Mix), m_Entries(Under.entries()) {
  for (unsigned Thread = 0; Thread < m_Mix.Threads; ++Thread)
    m_Threads.emplace_back([this, Thread] { work(Thread); });
}

MixedCallers::~MixedCallers() { stop(); }

bool MixedCallers::waitForMore(size_t Count, milliseconds Limit) {
  const auto Whole = [this] {
    const std::lock_guard Lock(m_Mutex);
    return m_Tally.Whole;
  };
  // Calls that run already may end first; those that count began later.
  const size_t Goal = Whole() + m_Mix.Threads + Count;
  return waitUntil(Limit, [&] { return Whole() >= Goal; });
}

CallerTally MixedCallers::stop() {
  m_Stopping = true;
  for (std::thread &Thread : m_Threads)
    Thread.join();
  m_Threads.clear();
  for (const std::string &Key : std::exchange(m_Held, {}))
    if (const int Times = m_Fleet.executions(Key); Times != 1)
      fault("hold " + Key + " ran " + std::to_string(Times) + " times");
  return m_Tally;
}

void MixedCallers::work(unsigned Thread) {
  unsigned NextEntry = Thread;
  for (unsigned Number = 0; !m_Stopping; ++Number)
    obtain(make(Thread, Number), NextEntry);
}

MixedCallers::Wanted MixedCallers::make(unsigned Thread,
                                        unsigned Number) const {
  const std::string Name =
      "caller " + std::to_string(Thread) + " call " + std::to_string(Number);
  const auto Completion = [](const std::string &Prompt, unsigned Tokens) {
    return Wanted{"/v1/completions", completionBody("desk", Prompt, Tokens), "",
                  expectedText(Prompt, Tokens)};
  };
  const bool HoldsOnly = Thread < m_Mix.HoldingThreads;
  switch (HoldsOnly ? Kinds - 1 : (Thread + Number) % Kinds) {
  case 0:
    return Completion(Name + " long", m_Mix.LongTokens);
  case 1:
    return Completion(Name + " short", m_Mix.ShortTokens);
  case 2:
    return Completion(Name + std::string(LongPromptBytes, 'r'), 1);
  default:
    break;
  }
  if (!m_Mix.Holds)
    return Completion(Name + " short", m_Mix.ShortTokens);
  return {"/v1/services/booking-core/slots/" + std::to_string(Number), "{}",
          freshKey(), ""};
}

std::string MixedCallers::pickEntry(unsigned &Next) {
  return m_Entries[Next++ % m_Entries.size()];
}

void MixedCallers::obtain(const Wanted &What, unsigned &NextEntry) {
  const auto End = std::chrono::steady_clock::now() + RefusedLimit;
  Headers Extra{{"X-Figlift-Deadline", "60s"}};
  if (!What.Key.empty())
    Extra["Idempotency-Key"] = What.Key;
  while (true) {
    const std::string Entry = pickEntry(NextEntry);
    const Answer Got = call(m_Fleet.callers(Entry), "POST", What.Path,
                            What.Body, Extra, CallLimit);
    if (judge(What, Entry, Got))
      return;
    if (std::chrono::steady_clock::now() >= End)
      return fault("never served, last by " + Entry + ": " + describe(Got));
    waitUntil(Pause, [this] { return m_Stopping.load(); });
  }
}

bool MixedCallers::judge(const Wanted &What, const std::string &Entry,
                         const Answer &Got) {
  if (Got.Unreached) {
    count(&CallerTally::Unreached);
    return false;
  }
  if (Got.Status != 200 && Got.executed() == "not-run") {
    count(&CallerTally::Refused);
    return false;
  }
  const bool IsRight =
      Got.Status == 200 &&
      (What.Text.empty()
           ? Got.Whole
           : Got.streamedToTheEnd() && Got.streamedText() == What.Text);
  if (IsRight)
    count(&CallerTally::Whole);
  else
    fault(What.Path + " by " + Entry + ": " + describe(Got));
  if (!What.Key.empty()) {
    const std::lock_guard Lock(m_Mutex);
    m_Held.push_back(What.Key);
  }
  return true;
}

void MixedCallers::count(size_t CallerTally::*Which) {
  const std::lock_guard Lock(m_Mutex);
  ++(m_Tally.*Which);
}

void MixedCallers::fault(std::string What) {
  const std::lock_guard Lock(m_Mutex);
  m_Tally.Faults.push_back(std::move(What));
}
