//===- HttpCall.cpp - One HTTP call to a target ---------------------------===//
//
// Converts failures to CallError.
//
//===----------------------------------------------------------------------===//

#include "LibTarget/HttpCall.h"

#include <charconv>
#include <utility>

namespace figlift::target {

/// Of all answers that are being collected.
static constexpr size_t MaximumHeldBytes = 64 << 20;
/// A longer time is an error: targets do not live that long.
static constexpr std::chrono::hours MaximumRetryAfter{24};

upstream::CallThread &callThread() {
  static upstream::CallThread Shared(MaximumHeldBytes);
  return Shared;
}

CallError describeFailure(const upstream::HttpFailure &Failure) {
  return {Failure.MayHaveRun ? Execution::MayHaveRun : Execution::NotRun,
          {ResultCode::TargetFailed, Failure.Message, {}, std::nullopt}};
}

std::optional<std::chrono::milliseconds>
readRetryAfter(const proxy::HeaderList &Headers) {
  const auto Text = Headers.find("Retry-After");
  if (!Text)
    return std::nullopt;
  double Seconds = 0;
  const char *const TextEnd = Text->data() + Text->size();
  const auto [End, ErrorCode] = std::from_chars(Text->data(), TextEnd, Seconds);
  if (ErrorCode != std::errc() || End != TextEnd || !(Seconds >= 0) ||
      Seconds > std::chrono::duration<double>(MaximumRetryAfter).count())
    return std::nullopt;
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::chrono::duration<double>(Seconds));
}

void sendCall(upstream::HttpClient &Client, upstream::HttpRequest Request,
              CallDone<upstream::HttpAnswer> Done) {
  Request.MaximumAnswerBytes = MaximumAnswerBytes;
  Client.send(std::move(Request),
              {.OnEnd = [Done = std::move(Done)](upstream::HttpResult Result) {
                if (auto *Answer = std::get_if<upstream::HttpAnswer>(&Result))
                  Done(std::move(*Answer));
                else
                  Done(
                      describeFailure(std::get<upstream::HttpFailure>(Result)));
              }});
}

} // namespace figlift::target
