// Entry point of comfreyflowctl.
#include <iostream>

#include "ctl/report.h"

int main(int argc, char** argv) {
  const comfreyflow::ctl::Args args(argv + 1, argv + argc);
  return comfreyflow::ctl::Run(args, std::cout, std::cerr);
}
