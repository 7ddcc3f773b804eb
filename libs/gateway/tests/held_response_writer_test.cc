#include "details/held_response_writer.h"

#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <utility>

namespace firmoor::details {
namespace {

/// Writes down what it is told.
class RecordingWriter final : public ResponseWriter {
 public:
  explicit RecordingWriter(std::string* told) : told_(told) {}

  void HoldUntilTaken(std::shared_ptr<BodyBudget::Share> /*share*/) override {}
  void Send(const HttpResponse& response) override {
    *told_ += "send " + std::to_string(response.status) + ";";
  }
  void StartStream(int status, const HttpHeaders& /*headers*/) override {
    *told_ += "start " + std::to_string(status) + ";";
  }
  void Write(std::string_view bytes) override {
    *told_ += "write " + std::string(bytes) + ";";
  }
  void FinishStream() override { *told_ += "finish;"; }
  void Abort() override { *told_ += "abort;"; }
  void Discard() override { *told_ += "discard;"; }
  [[nodiscard]] std::size_t UnsentBytes() const override { return 3; }
  void OnSent(std::function<void()> /*handler*/) override {}
  [[nodiscard]] bool IsOpen() const override { return true; }
  void OnCallerDisconnected(std::function<void()> /*handler*/) override {}

 private:
  std::string* told_;
};

}  // namespace

TEST_CASE("a response that may have to be kept back") {
  std::string told;
  HeldResponseWriter writer(std::make_shared<RecordingWriter>(&told));

  SUBCASE("passes when it is not held") {
    writer.StartStream(200, {});
    writer.Write("a");
    writer.FinishStream();
    CHECK(told == "start 200;write a;finish;");
  }
  SUBCASE("is kept back while it is held") {
    writer.Hold();
    writer.StartStream(200, {});
    writer.Write("a");
    writer.Write("b");
    CHECK(told.empty());
    CHECK(writer.UnsentBytes() == 5);

    SUBCASE("and sent when it is released") {
      writer.Release();
      CHECK(told == "start 200;write ab;");
      writer.Write("c");
      writer.FinishStream();
      writer.Release();
      CHECK(told == "start 200;write ab;write c;finish;");
      CHECK(writer.UnsentBytes() == 3);
    }
    SUBCASE("and sent when it is released after its end") {
      writer.FinishStream();
      CHECK_FALSE(writer.IsOpen());
      writer.Release();
      CHECK(told == "start 200;write ab;finish;");
    }
    SUBCASE("and never sent when it is replaced") {
      writer.Replace({502, {}, ""});
      writer.Write("c");
      writer.FinishStream();
      writer.Release();
      writer.Abort();
      CHECK(told == "send 502;");
    }
    SUBCASE("and never sent when it is broken off") {
      writer.Abort();
      writer.Release();
      writer.Replace({502, {}, ""});
      CHECK(told == "abort;");
    }
  }
}

}  // namespace firmoor::details
