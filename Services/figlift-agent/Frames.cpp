//===- Frames.cpp - Construction of RunFrame messages ---------------------===//
//
// One function for each kind of frame.
//
//===----------------------------------------------------------------------===//

#include "Frames.h"

namespace figlift::agent {

wire::RunFrame tokensFrame(const stream::TokenRange &Tokens) {
  wire::RunFrame Frame;
  Frame.mutable_tokens()->set_first_index(Tokens.FirstIndex);
  Frame.mutable_tokens()->set_count(Tokens.Count);
  Frame.mutable_tokens()->set_text(Tokens.Text);
  return Frame;
}

wire::RunFrame finishedFrame(const stream::Completed &End) {
  wire::RunFrame Frame;
  Frame.mutable_finished()->set_total_tokens(End.TotalTokens);
  Frame.mutable_finished()->set_finish_reason(End.FinishReason);
  Frame.mutable_finished()->set_cached_prompt_tokens(End.CachedPromptTokens);
  Frame.mutable_finished()->set_kv_handle(End.KvHandle);
  return Frame;
}

static wire::RunFrame refusalFrame(const Error &Reason) {
  wire::RunFrame Frame;
  Frame.mutable_refusal()->set_code(static_cast<uint32_t>(Reason.Code));
  Frame.mutable_refusal()->set_message(Reason.Message);
  if (Reason.RetryAfter)
    Frame.mutable_refusal()->set_retry_after_milliseconds(
        static_cast<uint64_t>(Reason.RetryAfter->count()));
  return Frame;
}

wire::RunFrame errorFrame(const Error &Reason, uint32_t TokensProduced) {
  if (resultCodeInfo(Reason.Code).Executed == Execution::NotRun)
    return refusalFrame(Reason);
  wire::RunFrame Frame;
  Frame.mutable_failure()->set_code(static_cast<uint32_t>(Reason.Code));
  Frame.mutable_failure()->set_message(Reason.Message);
  Frame.mutable_failure()->set_tokens_produced(TokensProduced);
  return Frame;
}

} // namespace figlift::agent
