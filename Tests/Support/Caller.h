//===- Caller.h - A caller of figlift in tests ------------------*- C++ -*-===//
//
// Sends HTTP requests as a customer's client would and keeps the whole answer,
// so that a test can compare it with the known one.
//
//===----------------------------------------------------------------------===//

#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace figlift::test {

/// Header names do not depend on case.
struct CaseInsensitiveLess {
  bool operator()(const std::string &Left, const std::string &Right) const;
};
using Headers = std::map<std::string, std::string, CaseInsensitiveLess>;

/// Whole answer to one request.
struct Answer {
  /// 0: the connection broke before a status came.
  int Status = 0;
  Headers Fields;
  std::string Body;
  /// The body ended in good order.
  bool Whole = false;
  /// No connection could be made, so nothing of the request was sent.
  bool Unreached = false;
  std::chrono::milliseconds Took{0};

  /// Text of all server-sent completion chunks, in the order they came.
  std::string streamedText() const;
  /// The stream ended with `data: [DONE]`.
  bool streamedToTheEnd() const;
  /// Number of the result code in a problem document; 0 when there is none.
  int resultCode() const;
  /// Member "executed" of a problem document.
  std::string executed() const;
};

/// Sends one request and waits for the end of the answer. \p OnBytes sees the
/// body's length as it grows, so that a test can act in mid-stream.
Answer call(const std::string &Address, const std::string &Method,
            const std::string &Path, const std::string &Body = {},
            const Headers &Extra = {},
            std::chrono::milliseconds Limit = std::chrono::seconds(30),
            const std::function<void(size_t)> &OnBytes = {});

/// Body of a streamed completion request.
std::string completionBody(const std::string &Model, const std::string &Prompt,
                           unsigned MaximumTokens, bool Stream = true);

/// A new idempotency key: a UUIDv7 minted now.
std::string freshKey();

/// The answer that every engine stand-in gives to \p Prompt.
std::string expectedText(std::string_view Prompt, unsigned Tokens);

} // namespace figlift::test
