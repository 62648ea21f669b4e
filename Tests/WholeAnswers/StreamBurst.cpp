//===- StreamBurst.cpp - Concurrent streams -------------------------------===//
//
// See StreamBurst.h.
//
//===----------------------------------------------------------------------===//

#include "StreamBurst.h"

#include "Support/WaitUntil.h"

#include <algorithm>

using namespace figlift::test;

namespace {

constexpr std::chrono::seconds StreamTimeout{60};

std::string printable(std::string Text) {
  std::ranges::replace_if(
      Text, [](unsigned char Byte) { return Byte < ' '; }, ' ');
  return Text;
}

} // namespace

StreamBurst::StreamBurst(Fleet &TargetFleet, unsigned Count, unsigned Tokens,
                         const std::vector<std::string> &Entries, KeyMode Mode)
    : m_Fleet(TargetFleet), m_Tokens(Tokens), m_Answers(Count) {
  for (unsigned Index = 0; Index < Count; ++Index) {
    m_Prompts.push_back("burst " + freshKey());
    m_Keys.push_back(Mode == KeyMode::Fresh ? freshKey() : "");
  }
  start(Entries);
}

void StreamBurst::start(const std::vector<std::string> &Entries) {
  m_Started = 0;
  for (size_t Index = 0; Index < m_Answers.size(); ++Index) {
    const std::string Entry = m_Fleet.callers(Entries[Index % Entries.size()]);
    Headers RequestHeaders{{"X-Figlift-Deadline", "60s"}};
    if (!m_Keys[Index].empty())
      RequestHeaders["Idempotency-Key"] = m_Keys[Index];
    m_Threads.emplace_back([this, Index, Entry, RequestHeaders] {
      bool HasStarted = false;
      m_Answers[Index] =
          call(Entry, "POST", "/v1/completions",
               completionBody("desk", m_Prompts[Index], m_Tokens),
               RequestHeaders, StreamTimeout, [&](size_t) {
                 if (!std::exchange(HasStarted, true))
                   ++m_Started;
               });
    });
  }
}

void StreamBurst::repeatRequests(const std::string &Entry) {
  join();
  start({Entry});
}

void StreamBurst::join() {
  for (std::thread &Thread : m_Threads)
    Thread.join();
  m_Threads.clear();
}

bool StreamBurst::waitUntilAllStarted(std::chrono::milliseconds Limit) {
  return waitUntil(Limit, [this] { return m_Started == m_Threads.size(); });
}

std::string StreamBurst::problems() {
  join();
  std::string Text;
  for (size_t Index = 0; Index < m_Answers.size(); ++Index) {
    const Answer &Response = m_Answers[Index];
    const std::string Expected = expectedText(m_Prompts[Index], m_Tokens);
    if (Response.Status == 200 && Response.isStreamComplete() &&
        Response.streamedText() == Expected)
      continue;
    const size_t Tail = std::min<size_t>(Response.Body.size(), 300);
    Text += "stream " + std::to_string(Index) + ": status " +
            std::to_string(Response.Status) + ", " +
            std::to_string(Response.streamedText().size()) + " of " +
            std::to_string(Expected.size()) + " bytes of text, ends: " +
            printable(Response.Body.substr(Response.Body.size() - Tail)) + "\n";
  }
  return Text;
}
