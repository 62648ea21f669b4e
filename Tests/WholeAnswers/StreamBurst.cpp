//===- StreamBurst.cpp - Many streams at once -----------------------------===//
//
// See StreamBurst.h.
//
//===----------------------------------------------------------------------===//

#include "StreamBurst.h"

#include "Support/WaitUntil.h"

#include <algorithm>

using namespace figlift::test;

namespace {

constexpr std::chrono::seconds StreamLimit{60};

std::string printable(std::string Text) {
  std::ranges::replace_if(
      Text, [](unsigned char Byte) { return Byte < ' '; }, ' ');
  return Text;
}

} // namespace

StreamBurst::StreamBurst(Fleet &Under, unsigned Count, unsigned Tokens,
                         const std::vector<std::string> &Entries, Keys With)
    : m_Fleet(Under), m_Tokens(Tokens), m_Answers(Count) {
  for (unsigned Index = 0; Index < Count; ++Index) {
    m_Prompts.push_back("burst " + freshKey());
    m_Keys.push_back(With == Keys::Fresh ? freshKey() : "");
  }
  start(Entries);
}

void StreamBurst::start(const std::vector<std::string> &Entries) {
  m_Running = 0;
  for (size_t Index = 0; Index < m_Answers.size(); ++Index) {
    const std::string Entry = m_Fleet.callers(Entries[Index % Entries.size()]);
    Headers Extra{{"X-Figlift-Deadline", "60s"}};
    if (!m_Keys[Index].empty())
      Extra["Idempotency-Key"] = m_Keys[Index];
    m_Threads.emplace_back([this, Index, Entry, Extra] {
      bool Begun = false;
      m_Answers[Index] =
          call(Entry, "POST", "/v1/completions",
               completionBody("desk", m_Prompts[Index], m_Tokens), Extra,
               StreamLimit, [&](size_t) {
                 if (!std::exchange(Begun, true))
                   ++m_Running;
               });
    });
  }
}

void StreamBurst::callAgain(const std::string &Entry) {
  join();
  start({Entry});
}

void StreamBurst::join() {
  for (std::thread &Thread : m_Threads)
    Thread.join();
  m_Threads.clear();
}

bool StreamBurst::waitUntilAllRun(std::chrono::milliseconds Limit) {
  return waitUntil(Limit, [this] { return m_Running == m_Threads.size(); });
}

std::string StreamBurst::problems() {
  join();
  std::string Text;
  for (size_t Index = 0; Index < m_Answers.size(); ++Index) {
    const Answer &Got = m_Answers[Index];
    const std::string Wanted = expectedText(m_Prompts[Index], m_Tokens);
    if (Got.Status == 200 && Got.isStreamComplete() &&
        Got.streamedText() == Wanted)
      continue;
    const size_t Tail = std::min<size_t>(Got.Body.size(), 300);
    Text += "stream " + std::to_string(Index) + ": status " +
            std::to_string(Got.Status) + ", " +
            std::to_string(Got.streamedText().size()) + " of " +
            std::to_string(Wanted.size()) + " bytes of text, ends: " +
            printable(Got.Body.substr(Got.Body.size() - Tail)) + "\n";
  }
  return Text;
}
