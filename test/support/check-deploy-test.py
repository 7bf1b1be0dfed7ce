"""Tests of support/check-deploy: which packages suffice for the files of a build."""
import pathlib
import subprocess
import tempfile
import unittest

import scripts

check_deploy = scripts.load("check-deploy")

# Status, name, essential, pre-depends, depends, provides.
INSTALLED = check_deploy.parse_status("\n".join("\t".join(line) for line in [
    ("ii ", "dpkg", "yes", "libc6 (>= 2.34)", "tar (>= 1.28-1)", ""),
    ("ii ", "tar", "no", "", "", ""),
    ("ii ", "libc6", "no", "", "", ""),
    ("ii ", "g++", "no", "", "g++-12 (>= 12.2.0-1~)", "c++-compiler"),
    ("ii ", "g++-12", "no", "", "libstdc++-12-dev:any (= 12.2.0-14)", ""),
    ("ii ", "libstdc++-12-dev", "no", "", "g++-12", ""),
    ("ii ", "libformat-dev", "no", "", "libold-dev | libnew-dev, c++-compiler", ""),
    ("ii ", "libnew-dev", "no", "", "", ""),
    ("ii ", "libother-dev", "no", "", "", ""),
    ("rc ", "libremoved-dev", "no", "", "", ""),
]))


class DependencyClosure(unittest.TestCase):
    def test_follows_dependencies_and_essential_packages(self):
        self.assertEqual(check_deploy.dependency_closure(["g++"], INSTALLED),
                         {"g++", "g++-12", "libstdc++-12-dev", "dpkg", "tar", "libc6"})

    def test_follows_the_installed_alternative_and_providers(self):
        closure = check_deploy.dependency_closure(["libformat-dev"], INSTALLED)
        self.assertLessEqual({"libnew-dev", "g++"}, closure)
        self.assertNotIn("libold-dev", closure)

    def test_one_of_several_installed_providers_does_not_count(self):
        packages = check_deploy.parse_status("\n".join("\t".join(line) for line in [
            ("ii ", "libformat-dev", "no", "", "awk", ""), ("ii ", "gawk", "no", "", "", "awk"),
            ("ii ", "mawk", "no", "", "", "awk")]))
        self.assertEqual(check_deploy.dependency_closure(["libformat-dev"], packages), {"libformat-dev"})
        self.assertEqual(check_deploy.dependency_closure(["libformat-dev", "mawk"], packages), {"libformat-dev", "mawk"})

    def test_removed_packages_do_not_count(self):
        self.assertNotIn("libremoved-dev", INSTALLED)


class Uncovered(unittest.TestCase):
    FILES = {"/usr/include/c++/12/string": "a.cc.o.d", "/usr/include/other/Other.h": "main.cc.o.d",
             "/usr/include/other/Sub.h": "main.cc.o.d", "/usr/local/include/stray.h": "a.cc.o.d"}
    OWNERS = {"/usr/include/c++/12/string": {"libstdc++-12-dev"}, "/usr/include/other/Other.h": {"libother-dev"},
              "/usr/include/other/Sub.h": {"libother-dev"}, "/usr/local/include/stray.h": set()}

    def problems(self, packages):
        closure = check_deploy.dependency_closure(packages, INSTALLED)
        return check_deploy.uncovered(self.FILES, self.OWNERS, closure)

    def test_header_of_an_installed_package_that_is_not_listed_is_reported(self):
        self.assertEqual(self.problems(["g++"]), [
            "libother-dev: /usr/include/other/Other.h, read by main.cc.o.d",
            "no package (/usr/local/include/stray.h): /usr/local/include/stray.h, read by a.cc.o.d"])

    def test_header_of_a_listed_package_is_not_reported(self):
        self.assertNotIn("libother-dev", " ".join(self.problems(["g++", "libother-dev"])))


class SystemFiles(unittest.TestCase):
    def test_files_of_the_tree_and_relative_paths_are_left_out(self):
        pairs = [("/src/tree/a.h", "a.cc.o.d"), ("/src/tree/target/libcore.a", "the linker of host"),
                 ("CMakeFiles/a.cc.o", "the linker of host"), ("/src/tree-2/b.h", "a.cc.o.d"),
                 ("/usr/include/string.h", "a.cc.o.d"), ("/usr/include/string.h", "b.cc.o.d")]
        self.assertEqual(check_deploy.system_files(pairs, pathlib.Path("/src/tree")),
                         {"/src/tree-2/b.h": "a.cc.o.d", "/usr/include/string.h": "a.cc.o.d"})


class BuildEnvironment(unittest.TestCase):
    def test_ccache_of_the_machine_fails(self):
        with tempfile.TemporaryDirectory() as folder:
            environment = check_deploy.build_environment(pathlib.Path(folder) / "tools")
            run = subprocess.run(["ccache", "c++", "--version"], env=environment, capture_output=True, text=True,
                                 check=False)
            self.assertEqual(run.returncode, 1)
            self.assertIn("ccache", run.stderr)


class Readers(unittest.TestCase):
    def test_prerequisites_of_continued_lines_and_escaped_blanks(self):
        text = "a.o: \\\n /src/a.cc /usr/include/c++/12/string \\\n /usr/include/with\\ blank.h\n"
        self.assertEqual(check_deploy.parse_dependencies(text),
                         ["/src/a.cc", "/usr/include/c++/12/string", "/usr/include/with blank.h"])

    def test_owners_of_shared_folders_and_architectures(self):
        owners = check_deploy.parse_owners(
            "diversion by dash from: /bin/sh\nlibssl-dev:amd64: /usr/include/openssl/ssl.h\n"
            "libc6:amd64, libc6-dev:amd64: /usr/share/doc\n")
        self.assertEqual(dict(owners), {"/usr/include/openssl/ssl.h": {"libssl-dev"},
                                        "/usr/share/doc": {"libc6", "libc6-dev"}})

    def test_merged_usr_is_spelled_both_ways(self):
        self.assertIn("/lib/no-such/libc.so.6", list(check_deploy.spellings("/usr/lib/no-such/libc.so.6")))
        self.assertIn("/usr/lib/no-such/libc.so.6", list(check_deploy.spellings("/lib/no-such/libc.so.6")))

    def test_link_is_owned_under_its_own_name(self):
        with tempfile.TemporaryDirectory() as folder:
            library = pathlib.Path(folder) / "libexample.so.1"
            library.touch()
            link = library.with_suffix("")
            link.symlink_to(library)
            names = list(check_deploy.spellings(str(link)))
            self.assertLess(names.index(str(link)), names.index(str(library.resolve())))


if __name__ == "__main__":
    unittest.main()
