#include <cstdlib>
#include <iostream>

#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include "base/log.h"

int main()
{
    radishstep::start_log("unit-tests", "OFF");
    CppUnit::TextUi::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    return runner.run() ? EXIT_SUCCESS : EXIT_FAILURE;
}
