//===- Explorer.h - Exhaustive exploration of a bounded world ---*- C++ -*-===//
//
// Breadth-first search over all interleavings of a small world made of the
// production state machines and of models of what surrounds them. States are
// recognised by a 128-bit digest of what World::describe() passes on, so a
// violation comes with a shortest sequence of steps that leads to it.
//
// A World is copyable and has
//   template <typename Sink> void describe(Sink &&) const;
//   template <typename Visit> void successors(Visit &&) const;
//     // calls Visit(std::string Label, World Next) for each possible step
//   std::string violation() const; // empty while all invariants hold
//
//===----------------------------------------------------------------------===//

#pragma once

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <string>
#include <type_traits>
#include <unordered_set>
#include <utility>
#include <vector>

namespace figlift::test {

/// Removes one element by its position.
template <typename Element>
void eraseAt(std::vector<Element> &From, size_t Position) {
  From.erase(From.begin() + static_cast<std::ptrdiff_t>(Position));
}

/// Collects values as bytes.
class Digest {
public:
  template <typename... Values> void operator()(const Values &...What) {
    (add(What), ...);
  }

  XXH128_hash_t value() const {
    return XXH3_128bits(m_Bytes.data(), m_Bytes.size());
  }

private:
  void add(char Tag) { m_Bytes += Tag; }
  void add(const std::string &Text) {
    add(Text.size());
    m_Bytes += Text;
  }
  template <typename Rep, typename Period>
  void add(const std::chrono::duration<Rep, Period> &Span) {
    add(Span.count());
  }
  template <typename Clock, typename Span>
  void add(const std::chrono::time_point<Clock, Span> &Instant) {
    add(Instant.time_since_epoch());
  }
  template <typename Value>
  requires std::is_arithmetic_v<Value> || std::is_enum_v<Value>
  void add(Value What) {
    auto Number = static_cast<int64_t>(What);
    m_Bytes.append(reinterpret_cast<const char *>(&Number), sizeof(Number));
  }

  std::string m_Bytes;
};

struct Exploration {
  size_t States = 0;
  size_t Steps = 0;
  /// False when the limit of states was met before the end.
  bool Complete = false;
  std::string Violation;
  /// Steps that lead to the violation.
  std::vector<std::string> Trace;
  std::chrono::milliseconds Took{0};

  void print(const char *Name) const {
    std::printf("\n  %s: %zu states, %zu steps, %lld ms, %s%s\n", Name, States,
                Steps, static_cast<long long>(Took.count()),
                Complete ? "complete" : "stopped",
                Violation.empty() ? ", no violation" : "");
    if (!Violation.empty())
      std::printf("    violation: %s\n", Violation.c_str());
    for (const std::string &Step : Trace)
      std::printf("      %s\n", Step.c_str());
  }
};

/// Explores until a violation is found, nothing new is left or \p Limit states
/// were seen. \p Each is called once for every state.
template <typename World, typename Each>
Exploration explore(const World &Start, size_t Limit, Each &&Visit) {
  struct Hash {
    size_t operator()(const XXH128_hash_t &Value) const { return Value.low64; }
  };
  struct Equal {
    bool operator()(const XXH128_hash_t &A, const XXH128_hash_t &B) const {
      return XXH128_isEqual(A, B);
    }
  };
  struct Origin {
    uint32_t Parent;
    std::string Label;
  };
  auto Begin = std::chrono::steady_clock::now();
  Exploration Result;
  std::unordered_set<XXH128_hash_t, Hash, Equal> Seen;
  std::vector<Origin> Origins;
  std::deque<std::pair<World, uint32_t>> Frontier;

  auto Enter = [&](World Next, uint32_t Parent, std::string Label) {
    Digest Bytes;
    Next.describe(Bytes);
    if (!Seen.insert(Bytes.value()).second)
      return;
    Origins.push_back({Parent, std::move(Label)});
    auto Index = static_cast<uint32_t>(Origins.size() - 1);
    Visit(Next);
    if (std::string Broken = Next.violation(); !Broken.empty()) {
      if (!Result.Violation.empty())
        return;
      Result.Violation = std::move(Broken);
      for (uint32_t At = Index; At != 0; At = Origins[At].Parent)
        Result.Trace.insert(Result.Trace.begin(), Origins[At].Label);
      return;
    }
    Frontier.emplace_back(std::move(Next), Index);
  };

  Enter(Start, 0, "");
  while (!Frontier.empty() && Result.Violation.empty() && Seen.size() < Limit) {
    auto [Now, Index] = std::move(Frontier.front());
    Frontier.pop_front();
    Now.successors([&, From = Index](std::string Label, World Next) {
      ++Result.Steps;
      Enter(std::move(Next), From, std::move(Label));
    });
  }
  Result.States = Seen.size();
  Result.Complete = Frontier.empty() && Result.Violation.empty();
  Result.Took = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now() - Begin);
  return Result;
}

template <typename World>
Exploration explore(const World &Start, size_t Limit) {
  return explore(Start, Limit, [](const World &) {});
}

} // namespace figlift::test
