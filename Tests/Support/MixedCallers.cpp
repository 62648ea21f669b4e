//===- MixedCallers.cpp - Mixed load of concurrent callers ----------------===//
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

constexpr unsigned CallKinds = 4;
constexpr size_t LongPromptBytes = 16000;
constexpr seconds CallLimit{60};
/// A call that is rejected for this long counts as failed.
constexpr seconds RejectionLimit{30};
constexpr milliseconds RetryDelay{50};
constexpr size_t MaximumReportedFaults = 10;

std::string describe(const Answer &Response) {
  const std::string Tail =
      Response.Body.size() > 300
          ? Response.Body.substr(Response.Body.size() - 300)
          : Response.Body;
  return "status " + std::to_string(Response.Status) + ", " +
         std::to_string(Response.Body.size()) + " bytes after " +
         std::to_string(Response.Duration.count()) +
         " ms, body ends with: " + Tail;
}

} // namespace

std::string CallerTally::text() const {
  std::string Text = std::to_string(Whole) + " complete, " +
                     std::to_string(Refused) + " rejected, " +
                     std::to_string(Unreachable) + " unreachable, " +
                     std::to_string(Faults.size()) + " failures";
  for (size_t I = 0; I < std::min(Faults.size(), MaximumReportedFaults); ++I)
    Text += "\n" + Faults[I];
  return Text;
}

MixedCallers::MixedCallers(Fleet &TestedFleet, CallerMix Mix)
    : m_Fleet(TestedFleet), m_Mix(Mix), m_Entries(TestedFleet.entries()) {
  for (unsigned Thread = 0; Thread < m_Mix.Threads; ++Thread)
    m_Threads.emplace_back([this, Thread] { work(Thread); });
}

MixedCallers::~MixedCallers() { stop(); }

bool MixedCallers::waitForSuccesses(size_t Count, milliseconds Limit) {
  const auto Whole = [this] {
    const std::lock_guard Lock(m_Mutex);
    return m_Tally.Whole;
  };
  // Each thread may first complete a call that started earlier and does not
  // count.
  const size_t Goal = Whole() + m_Mix.Threads + Count;
  return waitUntil(Limit, [&] { return Whole() >= Goal; });
}

CallerTally MixedCallers::stop() {
  m_Stopping = true;
  for (std::thread &Thread : m_Threads)
    Thread.join();
  m_Threads.clear();
  for (const std::string &Key : std::exchange(m_HoldKeys, {}))
    if (const int Times = m_Fleet.executions(Key); Times != 1)
      recordFailure("hold " + Key + " was executed " + std::to_string(Times) +
                    " times");
  return m_Tally;
}

void MixedCallers::work(unsigned Thread) {
  unsigned NextEntry = Thread;
  for (unsigned Number = 0; !m_Stopping; ++Number)
    performCall(createCall(Thread, Number), NextEntry);
}

MixedCallers::ExpectedCall MixedCallers::createCall(unsigned Thread,
                                                    unsigned Number) const {
  const std::string Name =
      "caller " + std::to_string(Thread) + " call " + std::to_string(Number);
  const auto Completion = [](const std::string &Prompt, unsigned Tokens) {
    return ExpectedCall{"/v1/completions",
                        completionBody("desk", Prompt, Tokens), "",
                        expectedText(Prompt, Tokens)};
  };
  const bool OnlyHolds = Thread < m_Mix.HoldingThreads;
  switch (OnlyHolds ? CallKinds - 1 : (Thread + Number) % CallKinds) {
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

std::string MixedCallers::pickEntry(unsigned &NextIndex) {
  return m_Entries[NextIndex++ % m_Entries.size()];
}

void MixedCallers::performCall(const ExpectedCall &Call, unsigned &NextEntry) {
  const auto End = std::chrono::steady_clock::now() + RejectionLimit;
  Headers Extra{{"X-Figlift-Deadline", "60s"}};
  if (!Call.Key.empty())
    Extra["Idempotency-Key"] = Call.Key;
  while (true) {
    const std::string Entry = pickEntry(NextEntry);
    const Answer Response = call(m_Fleet.callers(Entry), "POST", Call.Path,
                                 Call.Body, Extra, CallLimit);
    if (checkResponse(Call, Entry, Response))
      return;
    if (std::chrono::steady_clock::now() >= End)
      return recordFailure("not served within the limit, last by " + Entry +
                           ": " + describe(Response));
    waitUntil(RetryDelay, [this] { return m_Stopping.load(); });
  }
}

bool MixedCallers::checkResponse(const ExpectedCall &Call,
                                 const std::string &Entry,
                                 const Answer &Response) {
  if (Response.ConnectFailed) {
    count(&CallerTally::Unreachable);
    return false;
  }
  if (Response.Status != 200 && Response.executed() == "not-run") {
    count(&CallerTally::Refused);
    return false;
  }
  const bool IsRight =
      Response.Status == 200 &&
      (Call.Text.empty() ? Response.Whole
                         : Response.isStreamComplete() &&
                               Response.streamedText() == Call.Text);
  if (IsRight)
    count(&CallerTally::Whole);
  else
    recordFailure(Call.Path + " by " + Entry + ": " + describe(Response));
  if (!Call.Key.empty()) {
    const std::lock_guard Lock(m_Mutex);
    m_HoldKeys.push_back(Call.Key);
  }
  return true;
}

void MixedCallers::count(size_t CallerTally::*Counter) {
  const std::lock_guard Lock(m_Mutex);
  ++(m_Tally.*Counter);
}

void MixedCallers::recordFailure(std::string Description) {
  const std::lock_guard Lock(m_Mutex);
  m_Tally.Faults.push_back(std::move(Description));
}
